export * from './tally.js';
export * from './tallyNode.js';
