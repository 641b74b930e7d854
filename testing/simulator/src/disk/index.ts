export * from './simDisk.js';
