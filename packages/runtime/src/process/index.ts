export * from './endOnSignal.js';
export * from './exitOnFatalError.js';
export * from './reachedStage.js';
export * from './runProgram.js';
export * from './running.js';
export * from './startupStage.js';
export * from './startupTimeline.js';
