export * from './groupMember.js';
export * from './identity.js';
