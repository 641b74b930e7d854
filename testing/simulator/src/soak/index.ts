export * from './soakDay.js';
export * from './soakFindings.js';
export * from './soakHistory.js';
