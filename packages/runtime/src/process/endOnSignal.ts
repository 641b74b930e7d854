import { errorLine } from '../logging/index.js';
import type { Running } from './running.js';

/** How long after the grace period the process exits in any case; supervisors send SIGKILL soon after. */
const forcedExitMs = 500;

/**
 * Shuts a program down gracefully on SIGTERM or SIGINT, also while it is still starting. Exits with code 0, or with 1 when the shutdown
 * failed or took longer than `graceMs` milliseconds.
 */
export function endOnSignal(starting: Promise<Running>, graceMs: number): void {
  let leaving = false;
  const leave = (): void => {
    if (leaving) return;
    leaving = true;
    setTimeout(() => process.exit(1), graceMs + forcedExitMs).unref();
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
