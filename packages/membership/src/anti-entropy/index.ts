export * from './antiEntropy.js';
