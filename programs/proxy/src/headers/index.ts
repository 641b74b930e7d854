export * from './defaultHeaderNames.js';
export * from './endToEnd.js';
export * from './headerNames.js';
export * from './headerOf.js';
