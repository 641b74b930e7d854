export * from './failureDetector.js';
export * from './ring.js';
