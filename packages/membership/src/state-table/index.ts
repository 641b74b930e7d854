export * from './isNewer.js';
export * from './nodeRecord.js';
export * from './nodeRecordOf.js';
export * from './role.js';
export * from './stateTable.js';
export * from './update.js';
export * from './version.js';
