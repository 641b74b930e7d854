export * from './drainProxy.js';
export * from './frontProxy.js';
