export * from './campaign.js';
export * from './expectDay.js';
export * from './simDay.js';
export * from './simScenario.js';
