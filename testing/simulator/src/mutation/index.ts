export * from './mutation.js';
export * from './mutations.js';
export * from './runMutations.js';
export * from './scratchTree.js';
