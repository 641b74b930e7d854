import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import type { MembershipBounds } from '../protocol/index.js';
import type { NodeRecord } from '../state-table/index.js';

/** What a node needs to take part in the cluster. */
export interface MembershipOptions {
  /** This node's record; its state is kept by the membership itself. */
  readonly nodeRecord: Omit<NodeRecord, 'state'>;
  /** Addresses to join at. A later configuration changes this list in place. */
  readonly seeds: readonly Address[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly bounds: MembershipBounds;
  readonly counters: Counters;
  readonly log: Log;
}
