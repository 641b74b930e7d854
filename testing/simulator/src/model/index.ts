export * from './runModel.js';
