export * from './cutMode.js';
export * from './simNet.js';
export * from './simTransport.js';
