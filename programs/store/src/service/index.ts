export * from './announceGroup.js';
export * from './batchStore.js';
export * from './statusHttp.js';
