import { PewterError } from '@pewterlanding/model';

/** A snapshot holds a ring of another capacity than this build's: the two versions cannot share a shard. */
export class RingCapacityError extends PewterError {
  readonly code = 'PEWTER_RING_CAPACITY';
  readonly retriable = false;

  constructor(bytes: number) {
    super(`a ring of ${bytes} bytes is not of this capacity`);
  }
}
