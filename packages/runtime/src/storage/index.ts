export * from './crc32.js';
export * from './disk.js';
export * from './fileWatch.js';
export * from './journal.js';
export * from './journalRead.js';
export * from './nodeDisk.js';
export * from './serialQueue.js';
