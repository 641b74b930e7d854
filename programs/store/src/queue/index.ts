export * from './queuedItem.js';
export * from './queuedItems.js';
