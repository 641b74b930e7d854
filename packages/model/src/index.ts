export * from './configuration/index.js';
export * from './documents/index.js';
export * from './hashing/index.js';
export * from './names/index.js';
export * from './schema/index.js';
export * from './services/index.js';
