export * from './hollow.js';
export * from './spanOf.js';
