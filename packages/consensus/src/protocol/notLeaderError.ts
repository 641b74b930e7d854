import type { Address } from '@pewterlanding/model';

/** This member does not own the shard; perhaps it knows who does. Nothing was done. */
export class NotLeaderError extends Error {
  constructor(readonly leader: Address | undefined) {
    super(`not the leader${leader === undefined ? '' : `; try ${leader}`}`);
    this.name = 'NotOwnerError';
  }
}
