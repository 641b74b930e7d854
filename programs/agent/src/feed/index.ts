export * from './proxyFeed.js';
