import type { Clock, Counters, Disk, Log, Transport } from '@pewterlanding/runtime';
import type { ConsensusBounds } from './consensusBounds.js';

/** The clock, network, disk and sinks that shards run on; passed in, so that they can be simulated. */
export interface ShardEnvironment {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly disk: Disk;
  readonly bounds: ConsensusBounds;
  readonly counters: Counters;
  readonly log: Log;
  /** Called when a sync fails. What is on the disk is unknown then, so the process has to end. */
  readonly fatal: (error: unknown) => void;
}
