export * from './fieldRenamings.js';
export * from './mergePatch.js';
export * from './mergePatchBetween.js';
export * from './renameFields.js';
