export * from './httpDrain.js';
