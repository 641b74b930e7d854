export * from './nodePlaces.js';
