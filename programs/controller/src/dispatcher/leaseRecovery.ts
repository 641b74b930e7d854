import type { Membership } from '@pewterlanding/membership';
import type { Configuration } from '@pewterlanding/model';
import type { Counter } from '@pewterlanding/rate-limit';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { OpenLease } from '@pewterlanding/store';
import type { BatchShardClient } from './batchShardClient.js';
import type { FrontHeartbeats } from './frontHeartbeats.js';
import { LeaseAges } from './leaseAges.js';
import type { LeaseState } from './leaseState.js';
import { reservationId } from './reservationId.js';
import type { ShardView } from './shardView.js';

interface LeaseRecoveryOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly batches: BatchShardClient;
  readonly counters: Counters;
  readonly counter: () => Counter | undefined;
  readonly fronts: FrontHeartbeats;
  readonly failureTimeoutMs: number;
}

/** Requeues items whose lease was not started or not settled in time, and drops reservations that no open lease stands for. */
export class LeaseRecovery {
  readonly #options: LeaseRecoveryOptions;
  readonly #ages: LeaseAges;

  constructor(options: LeaseRecoveryOptions) {
    this.#options = options;
    this.#ages = new LeaseAges(options.failureTimeoutMs);
  }

  /**
   * Drops reservations whose lease is closed and whose settlement was lost: the estimate counts as used. `views` has to hold every
   * shard: a lease of a shard that was not read may still be open.
   */
  dropClosedReservations(views: readonly ShardView[]): void {
    const counter = this.#options.counter();
    const open = new Set<string>();
    for (const view of views) for (const lease of view.open) open.add(reservationId(lease));
    for (const id of counter?.open() ?? []) if (!open.has(id)) counter?.forget(id);
    this.#ages.retain(open);
  }

  /** Has overdue leases closed by their shards, which requeue the items that may run again. */
  async requeueOverdue(views: readonly ShardView[], configuration: Configuration): Promise<void> {
    const nowMs = this.#options.clock.nowMs();
    const overdue: { readonly shard: string; readonly lease: OpenLease }[] = [];
    for (const { shard, open } of views) {
      for (const lease of open) if (this.#ages.isOverdue(lease, this.#stateOf(lease), configuration, nowMs)) overdue.push({ shard, lease });
    }
    await Promise.all(overdue.map(({ shard, lease }) => this.#close(shard, lease)));
  }

  async #close(shard: string, lease: OpenLease): Promise<void> {
    const { batches, counters, counter } = this.#options;
    counters.add(lease.started ? 'dispatch.lost' : 'dispatch.stale');
    const response = await batches.change(shard, { kind: 'lost', ref: lease.ref, lease: lease.lease }).catch(() => undefined);
    if (response?.done === true && !lease.started) counter()?.refund(reservationId(lease));
  }

  #stateOf({ lease, started }: OpenLease): LeaseState {
    const { membership, fronts } = this.#options;
    if (membership.nodeRecord(lease.front) === undefined || fronts.deniesLease(lease)) return 'lost';
    return started ? 'running' : 'dispatched';
  }
}
