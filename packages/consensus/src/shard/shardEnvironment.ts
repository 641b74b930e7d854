import type { Clock, Counters, Disk, Log, Transport } from '@pewterlanding/runtime';
import type { ConsensusBounds } from '../state/consensusBounds.js';

/** What keeping shards stands on. Time, network and disk come from outside. */
export interface ShardEnvironment {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly bounds: ConsensusBounds;
  readonly counters: Counters;
  readonly log: Log;
  /** A sync that failed leaves nothing to rely on: the process must end. */
  readonly fatal: (error: unknown) => void;
}
