export * from './harnessError.js';
export * from './scenarioError.js';
export * from './simulationError.js';
