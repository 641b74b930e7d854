export * from './fleetFaults.js';
export * from './fleet.js';
export * from './fleetDay.js';
export * from './freeNet.js';
export * from './readDeployment.js';
export * from './pollUntil.js';
