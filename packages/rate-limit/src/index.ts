export * from './buckets/index.js';
export * from './counter/index.js';
export * from './quotas/account.js';
export * from './quotas/counterRules.js';
export * from './quotas/fleetCeiling.js';
export * from './quotas/quotaTree.js';
export * from './quotas/quotaView.js';
export * from './reservations/reservation.js';
