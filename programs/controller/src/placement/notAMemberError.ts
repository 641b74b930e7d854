import { PewterError } from '@pewterlanding/model';

/** This node is not yet a member of the configuration shard, so it cannot answer for the shard's leader. */
export class NotAMemberError extends PewterError {
  readonly code = 'PEWTER_NOT_A_MEMBER';
  readonly retriable = true;

  constructor() {
    super('not yet a member of the setup part');
  }
}
