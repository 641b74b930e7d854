/** Dispatched, but not started; lost with its front; or started and running. */
export type LeaseState = 'dispatched' | 'lost' | 'running';
