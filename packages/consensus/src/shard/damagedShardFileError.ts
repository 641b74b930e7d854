import { PewterError } from '@pewterlanding/model';

/** A shard's file still reads as damaged after it was emptied: the disk does not return what is written to it. */
export class DamagedShardFileError extends PewterError {
  readonly code = 'PEWTER_DAMAGED_SHARD_FILE';
  readonly retriable = false;

  constructor(readonly shard: string) {
    super(`${shard}: still damaged after it was emptied`);
  }
}
