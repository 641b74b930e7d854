import { PewterError } from '@pewterlanding/model';

/** An entry that is to be applied is not in the log. The log is contiguous above its snapshot, so this is a defect. */
export class MissingEntryError extends PewterError {
  readonly code = 'PEWTER_MISSING_ENTRY';
  readonly retriable = false;

  constructor(
    readonly shard: string,
    readonly index: number,
  ) {
    super(`no entry at ${index} in ${shard}`);
  }
}
