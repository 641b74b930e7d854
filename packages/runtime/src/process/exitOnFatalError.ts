import { errorLine } from '../logging/index.js';
import type { Log } from '../logging/index.js';

/** A handler for errors after which the process cannot go on safely, such as a failed fsync: logs the error and exits with code 3. */
export function exitOnFatalError(log: Log): (error: unknown) => void {
  return (error) => {
    log.error(`ends: ${errorLine(error)}`);
    process.exit(3);
  };
}
