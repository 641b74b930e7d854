export * from './groupReconciler.js';
