export * from './scale.js';
export * from './slopes.js';
