export * from './snapshot.js';
export * from './snapshotReceiver.js';
