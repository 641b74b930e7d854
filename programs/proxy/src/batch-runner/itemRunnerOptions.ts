import type { Clock, Counters } from '@pewterlanding/runtime';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { RoutingState } from '../updates/index.js';
import type { ItemTransport } from './itemTransport.js';
import type { LeaseCalls } from './leaseCalls.js';

/** What the runs of opaque items work with. */
export interface ItemRunnerOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly selector: ReplicaSelector;
  readonly calls: LeaseCalls;
  readonly transport: ItemTransport;
  readonly headerNames: HeaderNames;
  readonly random: () => number;
  readonly counters: Counters;
  /** Aborted when the proxy leaves: no item starts any more. */
  readonly leaving: AbortSignal;
  /** Aborted when the grace period ends: items that run are aborted, to be run elsewhere. */
  readonly halting: AbortSignal;
}
