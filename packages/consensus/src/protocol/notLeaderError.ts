import type { Address } from '@pewterlanding/model';
import { PewterError } from '@pewterlanding/model';

/** This member does not lead the shard; `leader` is where the leader was last known. The request had no effect and may be sent there. */
export class NotLeaderError extends PewterError {
  readonly code = 'PEWTER_NOT_LEADER';
  readonly retriable = true;

  constructor(readonly leader: Address | undefined) {
    super(`not the leader${leader === undefined ? '' : `; try ${leader}`}`);
  }
}
