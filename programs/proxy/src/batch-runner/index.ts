export * from './batchRunner.js';
export * from './itemAttempt.js';
export * from './itemEnd.js';
export * from './itemRunner.js';
export * from './itemTransport.js';
export * from './leaseCalls.js';
export * from './pooledItemTransport.js';
