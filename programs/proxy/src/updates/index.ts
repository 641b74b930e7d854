export * from './initialUpdate.js';
export * from './routingState.js';
export * from './startGate.js';
