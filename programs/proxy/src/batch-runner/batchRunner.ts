import { setMaxListeners } from 'node:events';
import type { LeaderFinder } from '@pewterlanding/consensus';
import type { LeaseOffer, Settlement } from '@pewterlanding/agent';
import type { NodeName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { leaseKey } from '@pewterlanding/store';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ReplicaTransport } from '../connections/replicaTransport.js';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { SlotPool } from '../selection/slotPool.js';
import type { RoutingState } from '../updates/index.js';
import { ItemRunner } from './itemRunner.js';
import type { ItemTransport } from './itemTransport.js';
import { LeaseCalls } from './leaseCalls.js';
import { OwnItemRunner } from './ownItemRunner.js';

interface BatchRunnerOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly slotPool: SlotPool;
  readonly selector: ReplicaSelector;
  readonly finder: LeaderFinder;
  readonly replicas: ReplicaTransport;
  readonly items: ItemTransport;
  readonly headerNames: HeaderNames;
  readonly random: () => number;
  /** Tells the quota counter that a lease is over, and what it cost. */
  readonly settle: (settled: Settlement) => void;
  readonly counters: Counters;
}

/** Runs the batch items that the dispatcher leases to this proxy. Nothing is sent without a committed start. */
export class BatchRunner {
  readonly #counters: Counters;
  /** Leases held here, by item and lease. */
  readonly #leases = new Map<string, string>();
  readonly #leaving = new AbortController();
  readonly #halting = new AbortController();
  readonly #ownItems: OwnItemRunner;
  readonly #opaqueItems: ItemRunner;

  constructor(options: BatchRunnerOptions) {
    this.#counters = options.counters;
    const calls = new LeaseCalls(options);
    const signals = { leaving: this.#leaving.signal, halting: this.#halting.signal };
    // Every item that runs listens to both.
    setMaxListeners(0, signals.leaving, signals.halting);
    this.#ownItems = new OwnItemRunner({ ...options, ...signals, calls });
    this.#opaqueItems = new ItemRunner({ ...options, ...signals, transport: options.items, calls });
  }

  /** Items whose lease is held here. */
  get running(): number {
    return this.#leases.size;
  }

  /** The leases held here, for the quota counter, which distinguishes a lost item from a slow one by them. */
  leases(): string[] {
    return [...this.#leases.values()];
  }

  /** Runs the offered items, except those whose lease is held already: an offer may be sent twice. */
  accept(offers: readonly LeaseOffer[]): void {
    for (const offer of offers) {
      const lease = leaseKey(offer.lease);
      const key = `${offer.ref.batch} ${offer.ref.position} ${lease}`;
      if (this.#leases.has(key)) continue;
      this.#leases.set(key, lease);
      void this.#run(offer)
        .catch(() => this.#counters.add('lot.runFailed'))
        .finally(() => this.#leases.delete(key));
    }
  }

  /** Returns the leases of items that have not started; started items run on. */
  stop(): void {
    this.#leaving.abort();
  }

  /** Aborts opaque items that still run and returns their leases, so that they go on at another proxy. */
  halt(): void {
    this.#halting.abort();
  }

  #run(offer: LeaseOffer): Promise<void> {
    if (offer.item === undefined) return this.#ownItems.run(offer);
    return this.#opaqueItems.run(offer, offer.item);
  }
}
