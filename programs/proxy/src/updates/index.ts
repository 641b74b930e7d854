export * from './initialUpdate.js';
export * from './routingState.js';
