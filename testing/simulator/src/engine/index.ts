export * from './instance.js';
export * from './simClock.js';
export * from './simMachine.js';
export * from './simTime.js';
