import type { LeaderFinder } from '@pewterlanding/consensus';
import type { NodeName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { RoutingState } from '../updates/index.js';

/** What the modules of the batch API work with. */
export interface BatchServiceOptions {
  readonly front: NodeName;
  /** Unique to this start of the process: part of the ids of commands. */
  readonly instance: string;
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly finder: LeaderFinder;
  /** Limit on a call to a shard's leader, retries included. */
  readonly waitMs: number;
  readonly counters: Counters;
}
