export * from './compareSelection.js';
export * from './drawnWorkload.js';
export * from './selectionModel.js';
export * from './selectionOutcome.js';
export * from './selectionWorkload.js';
export * from './selectionWorkloads.js';
