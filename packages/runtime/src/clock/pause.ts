import type { Clock } from './clock.js';

/** Waits on the clock that was passed in, so that virtual time can drive it. */
export function pause(clock: Clock, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(waitMs, resolve);
  });
}
