export * from './lease.js';
export * from './leaseKey.js';
export * from './sameLease.js';
