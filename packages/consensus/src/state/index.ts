export * from './consensusBounds.js';
export * from './memberOptions.js';
export * from './memberState.js';
export * from './shardEnvironment.js';
export * from './stateMachine.js';
