export * from './member.js';
