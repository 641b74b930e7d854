import type { Clock } from './clock.js';

/** Calls `run` again and again, `periodMs` milliseconds after the previous run has completed. Returns the function that stops it. */
export function every(clock: Clock, periodMs: number, run: () => void | Promise<void>): () => void {
  let stopped = false;
  let cancel = (): void => undefined;
  const next = (): void => {
    if (stopped) return;
    cancel = clock.after(periodMs, () => {
      // A failed run must not stop the loop; the failure is counted where it happens.
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
