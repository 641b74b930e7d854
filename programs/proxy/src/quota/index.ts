export * from './localQuota.js';
