export * from './briefBounds.js';
export * from './checkers.js';
export * from './judge.js';
export * from './unreadableSpans.js';
export * from './verdict.js';
export * from './verdictLine.js';
export * from './violation.js';
