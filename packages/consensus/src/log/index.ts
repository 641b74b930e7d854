export * from './deduplicationTable.js';
export * from './entry.js';
export * from './entryLog.js';
export * from './shardFile.js';
export * from './tailStart.js';
