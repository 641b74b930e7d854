export * from './storeCalls.js';
