export * from './frontProxy.js';
