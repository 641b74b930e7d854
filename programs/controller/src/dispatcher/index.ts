/** What the neighbouring folders use of the dispatcher. */
export * from './batchShardClient.js';
export * from './dispatchRole.js';
export * from './dispatcher.js';
export * from './waitingItems.js';
