export * from './caller.js';
export * from './fault.js';
export * from './genuineOutput.js';
export * from './runRecord.js';
export * from './standInReplica.js';
export * from './toldRecord.js';
