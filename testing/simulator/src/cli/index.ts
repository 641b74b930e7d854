export * from './commandLineFindings.js';
export * from './commandName.js';
export * from './helpText.js';
export * from './listOf.js';
export * from './parseCommandLine.js';
