import { errorLine } from '../logging/errorLine.js';
import type { Log } from '../logging/log.js';

/** For a failure that leaves nothing to rely on, such as a sync that failed: says it and ends the process. */
export function exitOnFatalError(log: Log): (error: unknown) => void {
  return (error) => {
    log.error(`ends: ${errorLine(error)}`);
    process.exit(3);
  };
}
