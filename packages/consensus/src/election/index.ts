export * from './election.js';
