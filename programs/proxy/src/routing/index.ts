export * from './replicaKey.js';
export * from './replicaRow.js';
export * from './routeMatch.js';
export * from './routeTable.js';
export * from './tables.js';
