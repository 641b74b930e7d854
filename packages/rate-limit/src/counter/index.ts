export * from './balances.js';
export * from './counter.js';
