export * from './longPollReads.js';
