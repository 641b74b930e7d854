export * from './attemptOutcome.js';
export * from './inFlightCounts.js';
export * from './replicaSelector.js';
export * from './retryBudget.js';
export * from './selectedReplica.js';
export * from './selectionRequest.js';
export * from './selectionRequestOf.js';
export * from './slotPool.js';
