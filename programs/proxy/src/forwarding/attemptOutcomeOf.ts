import type { AttemptOutcome } from '../selection/index.js';
import type { AttemptEnd } from './attemptEnd.js';

/** What the end of an attempt says about the replica's health. */
export function attemptOutcomeOf(end: AttemptEnd): AttemptOutcome {
  switch (end.kind) {
    case 'unfit':
      return 'unknown';
    case 'silent':
      return 'suspect';
    case 'unsent':
    case 'broken':
      return 'failed';
    case 'notRun':
      return refusalOutcomeOf(end.result.status);
    case 'whole':
      return end.result.status >= 500 ? 'suspect' : 'succeeded';
    case 'streamed':
      return 'succeeded';
  }
}

function refusalOutcomeOf(status: number): AttemptOutcome {
  // 421: another instance answers at the address.
  if (status === 421) return 'failed';
  return status === 503 || status === 429 ? 'overloaded' : 'succeeded';
}
