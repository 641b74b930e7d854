export * from './freshnessRequester.js';
export * from './joiningPhase.js';
export * from './proxyStatusReporter.js';
