export * from './hashOf.js';
export * from './rendezvous.js';
export * from './shardOf.js';
