export * from './historyDigest.js';
export * from './historyEvent.js';
export * from './of.js';
