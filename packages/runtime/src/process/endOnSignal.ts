import { errorLine } from '../logging/index.js';
import type { Running } from './running.js';

/** Ends a program politely when it is told to go, also while it is still starting. */
export function endOnSignal(starting: Promise<Running>, graceMs: number): void {
  let leaving = false;
  const leave = (): void => {
    if (leaving) return;
    leaving = true;
    // Whatever holds on past the grace is cut: the hard signal comes soon after.
    setTimeout(() => process.exit(1), graceMs + 500).unref();
    starting
      .then((running) => running.leave(graceMs))
      .then(
        () => process.exit(0),
        (error: unknown) => {
          console.error(errorLine(error));
          process.exit(1);
        },
      );
  };
  process.on('SIGTERM', leave);
  process.on('SIGINT', leave);
}
