export * from './agentCalls.js';
export * from './agentToControllerCalls.js';
export * from './leaseOffer.js';
export * from './proxyStatus.js';
export * from './quotaGrant.js';
export * from './quotaRequest.js';
export * from './settlement.js';
