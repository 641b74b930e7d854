import loglevel from 'loglevel';
import type { Log } from './log.js';

/** A log of a process, each line with the time and the node's name. */
export function nodeLog(name: string, level: 'info' | 'warn' | 'error' | 'silent' = 'info'): Log {
  const logger = loglevel.getLogger(name);
  logger.setLevel(level, false);
  const clockReading = (line: string): string => `${new Date().toISOString()} ${name} ${line}`;
  return {
    info: (line) => logger.info(clockReading(line)),
    warn: (line) => logger.warn(clockReading(line)),
    error: (line) => logger.error(clockReading(line)),
  };
}
