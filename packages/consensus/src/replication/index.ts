export * from './followerView.js';
export * from './leadership.js';
export * from './transferTarget.js';
