export * from './commands.js';
export * from './exitCode.js';
export * from './controllerClient.js';
export * from './show.js';
export * from './table.js';
export * from './views.js';
