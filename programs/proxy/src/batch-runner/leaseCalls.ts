import type { LeaderFinder } from '@pewterlanding/consensus';
import type { LeaseOffer, Settlement } from '@pewterlanding/agent';
import type { NodeName } from '@pewterlanding/model';
import type { Counters } from '@pewterlanding/runtime';
import { storeCalls } from '@pewterlanding/store';
import type { BatchCommand, BatchReturn } from '@pewterlanding/store';
import type { RoutingState } from '../updates/index.js';

interface LeaseCallsOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly routingState: RoutingState;
  readonly finder: LeaderFinder;
  readonly settle: (settled: Settlement) => void;
  readonly counters: Counters;
}

interface Release {
  /** Whether a replica may have run it, which counts as an attempt. */
  readonly tried: boolean;
  readonly failed?: boolean;
  /** Time until the item may be leased again. */
  readonly waitMs?: number | undefined;
}

/** Multiple of the freshness bound for which the write of a result is retried: the work is done and would be lost. */
const closeWaitRatio = 6;
/** The freshness bound without a configuration. */
const defaultStaleMs = 1000;

/** Calls about a leased item: commands to the leader of its shard, settlements to the quota counter. */
export class LeaseCalls {
  readonly #options: LeaseCallsOptions;
  #commands = 0;

  constructor(options: LeaseCallsOptions) {
    this.#options = options;
  }

  /** Starts an item of the product's own batches. Rejects when the outcome is not known within `waitMs`. */
  start(offer: LeaseOffer, waitMs: number): Promise<BatchReturn> {
    return this.#change(offer, { kind: 'start', ref: offer.ref, lease: offer.lease }, waitMs);
  }

  /** Starts an opaque item and gets what to send. Rejects when the outcome is not known within `waitMs`. */
  begin({ shard, ref, lease }: LeaseOffer, waitMs: number) {
    return this.#options.finder.ask(shard, storeCalls.begin, { shard, id: this.#nextCommandId(), ref, lease }, waitMs);
  }

  /** Returns the lease of an item that did not run, and the quota reserved for it. */
  async returnLease(offer: LeaseOffer, waitMs?: number): Promise<void> {
    this.#options.counters.add('lot.givenBack');
    await this.release(offer, { tried: false, waitMs });
    this.settle(offer, false, 0, 0);
  }

  /** Queues the item again. Never rejects: a lease whose release is lost expires. */
  async release(offer: LeaseOffer, how: Release): Promise<void> {
    const bounds = this.#options.routingState.tables.configuration?.bounds;
    const maxAttempts = bounds?.requeueAttempts ?? Number.MAX_SAFE_INTEGER;
    const { ref, lease } = offer;
    const command: BatchCommand = { kind: 'release', ref, lease, notBeforeMs: 0, maxAttempts, ...how };
    await this.#change(offer, command, bounds?.staleMs ?? defaultStaleMs).catch(() => undefined);
  }

  /** Writes an item's result. Rejects when the outcome is not known in time. */
  async close(offer: LeaseOffer, state: 'COMPLETED' | 'FAILED', result: string): Promise<void> {
    const staleMs = this.#options.routingState.tables.configuration?.bounds.staleMs ?? defaultStaleMs;
    const command: BatchCommand = { kind: 'close', ref: offer.ref, lease: offer.lease, state, result };
    const response = await this.#change(offer, command, staleMs * closeWaitRatio);
    // The item had another lease by then: this result is too late, and no caller may see it.
    if (!response.done) this.#options.counters.add('lot.lateResult');
  }

  /** Tells the quota counter that the lease is over. Not acknowledged: the counter also hears which leases are held. */
  settle(offer: LeaseOffer, ran: boolean, tokens: number, outputTokens: number): void {
    this.#options.settle({ ref: offer.ref, lease: offer.lease, ran, tokens, service: offer.service, outputTokens });
  }

  #change({ shard }: LeaseOffer, command: BatchCommand, waitMs: number): Promise<BatchReturn> {
    return this.#options.finder.ask(shard, storeCalls.change, { shard, id: this.#nextCommandId(), command }, waitMs);
  }

  /** Unique over all proxies and starts: a command that is sent again under its id is applied once. */
  #nextCommandId(): string {
    this.#commands += 1;
    return `${this.#options.front}/${this.#options.instance}/${this.#commands}`;
  }
}
