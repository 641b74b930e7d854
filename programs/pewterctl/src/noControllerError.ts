import { PewterError } from '@pewterlanding/model';
import { errorLine } from '@pewterlanding/runtime';

/** None of the controller machines answered; `cause` is what the last one that was tried failed with. */
export class NoControllerError extends PewterError {
  readonly code = 'PEWTER_NO_CONTROLLER';
  readonly retriable = true;

  constructor(cause: unknown) {
    super(cause === undefined ? 'no controller machine answers' : `no controller machine answers: ${errorLine(cause)}`, { cause });
  }
}
