import { PewterError } from '@pewterlanding/model';

/** A shard's file holds a record of a later format than this build reads. The file is left as it is; open it with a later build. */
export class UnsupportedFormatError extends PewterError {
  readonly code = 'PEWTER_UNSUPPORTED_FORMAT';
  readonly retriable = false;

  constructor(
    readonly shard: string,
    readonly format: number,
    supported: number,
  ) {
    super(`${shard}: its file holds a record of format ${format}; this build reads formats up to ${supported}`);
  }
}
