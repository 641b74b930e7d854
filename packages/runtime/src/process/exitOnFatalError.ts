import { errorLine } from '../logging/index.js';
import type { Log } from '../logging/index.js';

/** For a failure that leaves nothing to rely on, such as a sync that failed: says it and ends the process. */
export function exitOnFatalError(log: Log): (error: unknown) => void {
  return (error) => {
    log.error(`ends: ${errorLine(error)}`);
    process.exit(3);
  };
}
