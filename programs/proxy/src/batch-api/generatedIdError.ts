import { PewterError } from '@pewterlanding/model';

/** An id that this program generated does not match the id's own schema: a programming error. */
export class GeneratedIdError extends PewterError {
  readonly code = 'PEWTER_GENERATED_ID';
  readonly retriable = false;

  constructor(kind: 'batch' | 'task') {
    super(`a generated ${kind} id does not match its schema`);
  }
}
