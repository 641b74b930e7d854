export * from './broadcaster.js';
export * from './updateBatcher.js';
