export * from './countedLosses.js';
export * from './disruption.js';
export * from './replicaFault.js';
export * from './simDeployments.js';
export * from './simEnvironment.js';
export * from './simRun.js';
export * from './simService.js';
