import type { Clock } from './clock.js';

/** Resolves after `waitMs` milliseconds of the clock. */
export function pause(clock: Clock, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(waitMs, resolve);
  });
}
