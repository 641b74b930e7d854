export * from './addCost.js';
export * from './bucket.js';
export * from './cost.js';
export * from './localAllowance.js';
export * from './shareOf.js';
export * from './subtractCost.js';
export * from './takeBoth.js';
export * from './taken.js';
