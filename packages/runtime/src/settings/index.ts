export * from './bootSettings.js';
export * from './readBootSettings.js';
