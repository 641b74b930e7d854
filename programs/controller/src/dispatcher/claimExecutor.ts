import type { Membership } from '@pewterlanding/membership';
import type { Configuration } from '@pewterlanding/model';
import type { Counter } from '@pewterlanding/rate-limit';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import type { ItemRef } from '@pewterlanding/store';
import type { BatchShardClient } from './batchShardClient.js';
import type { LeasedItem } from './leasedItem.js';
import { reservationId } from './reservationId.js';
import { sendLeases } from './sendLeases.js';
import type { ShardClaim } from './shardClaim.js';

interface ClaimExecutorOptions {
  readonly term: number;
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly batches: BatchShardClient;
  readonly counters: Counters;
  readonly failureTimeoutMs: number;
  /** Whether this node no longer holds the role under `term`; asked before each step that grants anything. */
  readonly isOver: () => boolean;
}

/** A requeued item waits for whole seconds. */
const requeueStepMs = 1000;

/**
 * Carries out the claims of a tick: the shard commits the claim, the counter reserves requests and tokens for each claimed item in
 * one step, and the reserved items are sent to their fronts. An item that gets no reservation is released to its queue with a backoff.
 */
export class ClaimExecutor {
  readonly #options: ClaimExecutorOptions;

  constructor(options: ClaimExecutorOptions) {
    this.#options = options;
  }

  /** Never rejects: a shard or a front that does not answer leaves leases that are requeued when they are overdue. */
  async execute({ shard, items }: ShardClaim, configuration: Configuration, counter: Counter): Promise<void> {
    const { batches, term, clock, counters, isOver } = this.#options;
    const claims = items.map(({ item, lease }) => ({ ref: item.ref, lease }));
    const response = await batches.change(shard, { kind: 'claim', term, claims }).catch(() => undefined);
    if (response?.claimed === undefined || isOver()) return;
    const claimed = new Set(response.claimed.map(textOf));
    const reserved: LeasedItem[] = [];
    const releases: Promise<unknown>[] = [];
    for (const leased of items) {
      const { item, lease } = leased;
      if (!claimed.has(textOf(item.ref))) continue;
      counters.add('dispatch.claimed');
      const id = reservationId({ ref: item.ref, lease });
      const reservation = counter.reserve(id, item.quota, { requests: 1, tokens: item.tokens }, clock.nowMs());
      if (reservation.ok) reserved.push(leased);
      else releases.push(this.#release(shard, leased, reservation.retryAfterMs, configuration));
    }
    await Promise.all(releases);
    if (reserved.length > 0) await sendLeases(this.#options, shard, reserved);
  }

  #release(shard: string, { item, lease }: LeasedItem, retryAfterMs: number, configuration: Configuration): Promise<unknown> {
    const { batches, clock, counters } = this.#options;
    const { requeueCapMs, requeueAttempts } = configuration.bounds;
    counters.add('dispatch.unreserved');
    const waitMs = Math.min(Math.ceil(retryAfterMs / requeueStepMs) * requeueStepMs, requeueCapMs);
    // The due time of an opaque item must not follow wall clocks, which may step: its shard's leader measures the wait.
    const backoff = item.route === undefined ? { notBeforeMs: clock.wallMs() + waitMs } : { notBeforeMs: 0, waitMs };
    return batches
      .change(shard, { kind: 'release', ref: item.ref, lease, ...backoff, tried: true, maxAttempts: requeueAttempts })
      .catch(() => undefined);
  }
}

function textOf(ref: ItemRef): string {
  return `${ref.batch} ${ref.position}`;
}
