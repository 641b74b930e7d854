import type { Log } from './log.js';

/** A log that discards all lines, for embedding and for tests. */
export const quietLog: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
