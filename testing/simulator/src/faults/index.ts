export * from './faults.js';
export * from './operatorFaults.js';
export * from './processFaults.js';
export * from './replicaFaults.js';
