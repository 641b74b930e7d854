import type { Log } from './log.js';

/** A log that keeps nothing, for embedding and for tests. */
export const quietLog: Log = { info: () => undefined, warn: () => undefined, error: () => undefined };
