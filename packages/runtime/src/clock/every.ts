import type { Clock } from './clock.js';

/** Runs `run` each `periodMs`, the next wait starting only when the last run is over. Returns the stop. */
export function every(clock: Clock, periodMs: number, run: () => void | Promise<void>): () => void {
  let stopped = false;
  let cancel = (): void => undefined;
  const next = (): void => {
    if (stopped) return;
    cancel = clock.after(periodMs, () => {
      // A run that fails must not end the duty; what failed is counted where it failed.
      void Promise.resolve()
        .then(run)
        .catch(() => undefined)
        .then(next);
    });
  };
  next();
  return () => {
    stopped = true;
    cancel();
  };
}
