export * from './reservation.js';
export * from './reservations.js';
