export * from './batchBody.js';
export * from './batchService.js';
export * from './generatedIdError.js';
export * from './opaqueBatch.js';
export * from './submittedOpaque.js';
