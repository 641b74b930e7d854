import type { LeaderFinder } from '@pewterlanding/consensus';
import type { LeaseOffer, Settlement } from '@pewterlanding/agent';
import type { NodeName } from '@pewterlanding/model';
import type { Counters } from '@pewterlanding/runtime';
import { storeCalls } from '@pewterlanding/store';
import type { BatchCommand, BatchReturn } from '@pewterlanding/store';
import type { RoutingState } from '../updates/routingState.js';

interface LeaseCallsOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly routingState: RoutingState;
  readonly finder: LeaderFinder;
  readonly settle: (settled: Settlement) => void;
  readonly counters: Counters;
}

/** Writing an end is worth more patience than anything else: the work is done. */
const closePatience = 6;

/** What a front says of an item that it holds a lease for: to the shard's leader, and to the counter. */
export class LeaseCalls {
  readonly #options: LeaseCallsOptions;
  #count = 0;

  constructor(options: LeaseCallsOptions) {
    this.#options = options;
  }

  start(offer: LeaseOffer, waitMs: number): Promise<BatchReturn> {
    return this.#change(offer, { kind: 'start', ref: offer.ref, lease: offer.lease }, waitMs);
  }

  /** The start of an opaque item, and what to send. */
  begin({ shard, ref, lease }: LeaseOffer, waitMs: number) {
    return this.#options.finder.ask(shard, storeCalls.begin, { shard, id: this.#nextId(), ref, lease }, waitMs);
  }

  /** Nothing of it ran: it goes back, and what was reserved with it. */
  async giveBack(offer: LeaseOffer, waitMs?: number): Promise<void> {
    this.#options.counters.add('lot.givenBack');
    await this.release(offer, { tried: false, waitMs });
    this.settle(offer, false, 0, 0);
  }

  async release(
    offer: LeaseOffer,
    how: { readonly tried: boolean; readonly failed?: boolean; readonly waitMs?: number | undefined },
  ): Promise<void> {
    const bounds = this.#options.routingState.tables.configuration?.bounds;
    const maxAttempts = bounds?.requeueAttempts ?? Number.MAX_SAFE_INTEGER;
    const { ref, lease } = offer;
    const command: BatchCommand = { kind: 'release', ref, lease, notBeforeMs: 0, maxAttempts, ...how };
    await this.#change(offer, command, bounds?.staleMs ?? 1000).catch(() => undefined);
  }

  async close(offer: LeaseOffer, state: 'COMPLETED' | 'FAILED', result: string): Promise<void> {
    const staleMs = this.#options.routingState.tables.configuration?.bounds.staleMs ?? 1000;
    const response = await this.#change(
      offer,
      { kind: 'close', ref: offer.ref, lease: offer.lease, state, result },
      staleMs * closePatience,
    );
    // Another lease had the item meanwhile: this result is late and nobody may see it.
    if (!response.done) this.#options.counters.add('lot.lateResult');
  }

  settle(offer: LeaseOffer, ran: boolean, tokens: number, outputTokens: number): void {
    this.#options.settle({ ref: offer.ref, lease: offer.lease, ran, tokens, service: offer.service, outputTokens });
  }

  #change(offer: LeaseOffer, command: BatchCommand, waitMs: number): Promise<BatchReturn> {
    return this.#options.finder.ask(offer.shard, storeCalls.change, { shard: offer.shard, id: this.#nextId(), command }, waitMs);
  }

  #nextId(): string {
    this.#count += 1;
    return `${this.#options.front}/${this.#options.instance}/${this.#count}`;
  }
}
