/**
 * How an attempt ended, as evidence of the replica's health: succeeded (`well`), failed (`hurt`), overloaded (`full`), suspect (`poor`:
 * the request may be the cause as well, as with a timeout without a response or a 5xx status), or no evidence (`unknown`).
 */
export type AttemptOutcome = 'well' | 'hurt' | 'full' | 'poor' | 'unknown';
