import { setMaxListeners } from 'node:events';
import type { LeaderFinder } from '@pewterlanding/consensus';
import type { LeaseOffer, Settlement } from '@pewterlanding/agent';
import { check, TaskId } from '@pewterlanding/model';
import type { NodeName, Service, Configuration } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { leaseKey } from '@pewterlanding/store';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { HeaderNames } from '../forwarding/headerNames.js';
import { ItemRunner } from './itemRunner.js';
import type { ItemTransport } from './itemTransport.js';
import { LeaseCalls } from './leaseCalls.js';
import type { RoutingState } from '../updates/routingState.js';
import type { ReplicaTransport } from '../forwarding/replicaTransport.js';
import type { SlotPool } from '../selection/slotPool.js';
import type { RunEnd } from '../forwarding/runEnd.js';

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
  readonly settle: (settled: Settlement) => void;
  readonly counters: Counters;
}

/** Runs leased items: room, start at the shard's leader, try, close. Nothing is sent without a committed start. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  /** Leases held here, by item and lease. */
  readonly #known = new Map<string, string>();
  readonly #abort = new AbortController();
  readonly #halt = new AbortController();
  readonly #calls: LeaseCalls;
  readonly #items: ItemRunner;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    this.#calls = new LeaseCalls(options);
    const signals = { leaving: this.#abort.signal, halting: this.#halt.signal };
    // Each item that runs listens to both.
    setMaxListeners(0, signals.leaving, signals.halting);
    this.#items = new ItemRunner({ ...options, ...signals, transport: options.items, calls: this.#calls });
  }

  get running(): number {
    return this.#known.size;
  }

  /** What the counter is told with each draw, so that it can tell a lost item from a slow one. */
  leases(): string[] {
    return [...this.#known.values()];
  }

  /** Takes offers that this front does not have already. */
  take(offers: readonly LeaseOffer[]): void {
    for (const offer of offers) {
      const lease = leaseKey(offer.lease);
      const key = `${offer.ref.batch} ${offer.ref.position} ${lease}`;
      if (this.#known.has(key)) continue;
      this.#known.set(key, lease);
      void this.#run(offer)
        .catch(() => this.#options.counters.add('lot.runFailed'))
        .finally(() => this.#known.delete(key));
    }
  }

  /** Gives back what has not started; started items run on. */
  stop(): void {
    this.#abort.abort();
  }

  /** The grace is over: opaque items that still run are broken off and given back, to go on elsewhere. */
  halt(): void {
    this.#halt.abort();
  }

  #run(offer: LeaseOffer): Promise<void> {
    if (offer.item === undefined) return this.#runOwn(offer);
    return this.#items.run(offer, offer.item);
  }

  async #runOwn(offer: LeaseOffer): Promise<void> {
    const { routingState, slotPool, clock, counters } = this.#options;
    const configuration = routingState.tables.configuration;
    const rule = configuration?.services[offer.service];
    if (configuration === undefined || rule === undefined || !routingState.isFresh()) return this.#calls.giveBack(offer);
    const granted = await slotPool.enter(
      offer.service,
      offer.quota,
      'batch',
      configuration.bounds.staleMs / 4,
      new Set(),
      this.#abort.signal,
    );
    // Live traffic took the room: back it goes, and no try counts.
    if (granted.kind !== 'room') return this.#calls.giveBack(offer);
    try {
      const askedMs = clock.nowMs();
      const started = await this.#calls.start(offer, configuration.bounds.startWindowMs).catch(() => undefined);
      if (started?.done === false) {
        counters.add('lot.startRefused');
        return this.#settle(offer, rule, undefined);
      }
      // By the monotonic clock: what was frozen here in between must not send now.
      if (started === undefined || clock.nowMs() - askedMs > configuration.bounds.startWindowMs || !routingState.isFresh()) {
        counters.add('lot.windowMissed');
        return await this.#calls.giveBack(offer);
      }
      await this.#send(offer, configuration, rule, granted.address);
    } finally {
      granted.leave();
    }
  }

  async #send(offer: LeaseOffer, configuration: Configuration, rule: Service, address: Parameters<SlotPool['hurt']>[0]): Promise<void> {
    const { replicas, slotPool, counters } = this.#options;
    const id = check(TaskId, `${offer.ref.batch}.${offer.ref.position}.${leaseKey(offer.lease)}`);
    if (!id.ok) return this.#calls.giveBack(offer);
    const pieces: string[] = [];
    const end = await replicas.run(
      { id: id.value, service: offer.service, rule, address, input: offer.input },
      (data) => pieces.push(data),
      new AbortController().signal,
    );
    counters.add(`lot.${end.kind}`);
    if (end.kind === 'done') {
      const output = rule.kind === 'whole' ? end.body : `[${pieces.join(',')}]`;
      await this.#calls.close(offer, 'COMPLETED', output);
      return this.#settle(offer, rule, end);
    }
    slotPool.hurt(address);
    const notRun = end.kind === 'unsent' || (end.kind === 'status' && rule.notRun.includes(end.status));
    if (notRun) return this.#calls.giveBack(offer);
    if (rule.idempotent) await this.#calls.release(offer, { tried: true });
    else await this.#calls.close(offer, 'FAILED', JSON.stringify({ error: 'outcome unknown: the replica may have run it' }));
    this.#settle(offer, rule, end);
  }

  #settle(offer: LeaseOffer, rule: Service, end: RunEnd | undefined): void {
    const bytes = end === undefined || !('bytes' in end) ? 0 : end.bytes;
    const tokens = Math.ceil((offer.input.length + bytes) / rule.bytesPerToken);
    const outputTokens = Math.ceil(bytes / rule.bytesPerToken);
    this.#calls.settle(offer, end !== undefined, tokens, outputTokens);
  }
}
