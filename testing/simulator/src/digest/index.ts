export * from './digest.js';
export * from './digestDifferences.js';
