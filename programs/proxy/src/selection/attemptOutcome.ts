/**
 * How an attempt ended, as evidence of the replica's health. `suspect`: the request may be the cause as well, as with a timeout
 * without a response or a 5xx status. `unknown`: no evidence.
 */
export type AttemptOutcome = 'succeeded' | 'failed' | 'overloaded' | 'suspect' | 'unknown';
