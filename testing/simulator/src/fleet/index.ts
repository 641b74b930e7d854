export * from './chaos.js';
export * from './fleet.js';
export * from './fleetDay.js';
export * from './freeNet.js';
export * from './readDeployment.js';
export * from './until.js';
