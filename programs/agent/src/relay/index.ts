export * from './controllerRelay.js';
