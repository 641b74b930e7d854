export * from './clock/index.js';
export * from './http/index.js';
export * from './logging/index.js';
export * from './process/index.js';
export * from './random/index.js';
export * from './settings/index.js';
export * from './storage/index.js';
export * from './transport/index.js';
