export * from './membershipBounds.js';
export * from './membershipCalls.js';
