export * from './counters.js';
export * from './errorLine.js';
export * from './log.js';
export * from './nodeLog.js';
export * from './quietLog.js';
