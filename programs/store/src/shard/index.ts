export * from './batchCommand.js';
export * from './batchShard.js';
