export * from './eventCutter.js';
export * from './eventText.js';
export * from './inspectedReader.js';
export * from './streamReader.js';
export * from './wholeReader.js';
