import { PewterError } from '@pewterlanding/model';

/** Whether the command will be committed is not known: it may be in the log. Retry it under the same id, which has one effect. */
export class UnknownOutcomeError extends PewterError {
  readonly code = 'PEWTER_UNKNOWN_OUTCOME';
  readonly retriable = true;
}
