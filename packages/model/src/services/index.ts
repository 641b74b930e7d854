export * from './engine.js';
export * from './quotaRule.js';
export * from './route.js';
export * from './service.js';
