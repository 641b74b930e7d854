export * from './account.js';
export * from './counterRules.js';
export * from './fleetCeiling.js';
export * from './quotaAccounts.js';
export * from './quotaTree.js';
export * from './quotaView.js';
