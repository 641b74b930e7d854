export * from './historyDigest.js';
export * from './historyEvent.js';
export * from './eventsOfType.js';
