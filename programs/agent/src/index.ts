export * from './agent.js';
export * from './calls/index.js';
export * from './sharedState/index.js';
export * from './startAgent.js';
