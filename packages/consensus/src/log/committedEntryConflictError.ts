import { PewterError } from '@pewterlanding/model';

/** A leader's entries conflict with an entry that is already committed. Raft's safety properties rule this out; it is a defect. */
export class CommittedEntryConflictError extends PewterError {
  readonly code = 'PEWTER_COMMITTED_ENTRY_CONFLICT';
  readonly retriable = false;

  constructor(readonly index: number) {
    super(`a committed record at ${index} would be cut`);
  }
}
