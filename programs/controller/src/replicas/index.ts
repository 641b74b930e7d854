/** What the neighbouring folders use of the replicas and the service shards. */
export * from './replicaRegistry.js';
export * from './serviceCommand.js';
export * from './serviceRegistry.js';
export * from './serviceShard.js';
