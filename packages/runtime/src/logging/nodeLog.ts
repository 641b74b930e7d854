import loglevel from 'loglevel';
import type { Log } from './log.js';

/** A log to the console; each line starts with the time (ISO 8601, UTC) and the node's name. */
export function nodeLog(name: string, level: 'info' | 'warn' | 'error' | 'silent' = 'info'): Log {
  const logger = loglevel.getLogger(name);
  logger.setLevel(level, false);
  const prefixed = (line: string): string => `${new Date().toISOString()} ${name} ${line}`;
  return {
    info: (line) => logger.info(prefixed(line)),
    warn: (line) => logger.warn(prefixed(line)),
    error: (line) => logger.error(prefixed(line)),
  };
}
