export * from './bounds.js';
export * from './configuration.js';
export * from './configurationFormat1.js';
export * from './limits.js';
export * from './place.js';
export * from './readConfiguration.js';
export * from './versionedConfiguration.js';
