/** What the neighbouring folders use of the singleton roles. */
export * from './claimRole.js';
export * from './reachesMajority.js';
export * from './roleHandover.js';
export * from './roleLeaseGrantor.js';
export * from './roleLeaseHolder.js';
export * from './roleMember.js';
export * from './roleOffers.js';
export * from './roleState.js';
export * from './serveRoleLeases.js';
