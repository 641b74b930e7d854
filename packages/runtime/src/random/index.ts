export * from './seededRandom.js';
