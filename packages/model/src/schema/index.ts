export * from './check.js';
export * from './checked.js';
export * from './count.js';
export * from './entriesOf.js';
export * from './finding.js';
export * from './findingsError.js';
export * from './isFields.js';
export * from './pewterError.js';
