import type { AttemptOutcome } from '../selection/index.js';
import type { AttemptEnd } from './attemptEnd.js';

/** What the end of an attempt says about the replica's health. */
export function attemptOutcomeOf(end: AttemptEnd): AttemptOutcome {
  switch (end.kind) {
    case 'unfit':
      return 'unknown';
    case 'silent':
      return 'poor';
    case 'unsent':
    case 'broken':
      return 'hurt';
    case 'notRun':
      return refusalOutcomeOf(end.result.status);
    case 'whole':
      return end.result.status >= 500 ? 'poor' : 'well';
    case 'streamed':
      return 'well';
  }
}

function refusalOutcomeOf(status: number): AttemptOutcome {
  // 421: another instance answers at the address.
  if (status === 421) return 'hurt';
  return status === 503 || status === 429 ? 'full' : 'well';
}
