export * from './batch/index.js';
export * from './leases/index.js';
export * from './protocol/index.js';
export * from './queue/index.js';
export * from './reads/index.js';
export * from './service/index.js';
export * from './shard/index.js';
export * from './startStore.js';
