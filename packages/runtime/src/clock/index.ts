export * from './clock.js';
export * from './every.js';
export * from './pause.js';
export * from './systemClock.js';
