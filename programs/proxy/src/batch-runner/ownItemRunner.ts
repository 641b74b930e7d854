import type { LeaseOffer } from '@pewterlanding/agent';
import { check, TaskId } from '@pewterlanding/model';
import type { Configuration, Service } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { leaseKey } from '@pewterlanding/store';
import type { ReplicaTransport } from '../connections/replicaTransport.js';
import type { RunEnd } from '../connections/runEnd.js';
import type { SlotPool } from '../selection/slotPool.js';
import type { RoutingState } from '../updates/index.js';
import type { LeaseCalls } from './leaseCalls.js';

interface OwnItemRunnerOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly slotPool: SlotPool;
  readonly replicas: ReplicaTransport;
  readonly calls: LeaseCalls;
  readonly counters: Counters;
  /** Aborted when the proxy leaves: no item starts any more. */
  readonly leaving: AbortSignal;
}

/** One item under the configuration that it started with. */
interface OwnItem {
  readonly offer: LeaseOffer;
  readonly configuration: Configuration;
  readonly service: Service;
}

/** Part of the freshness bound that an item waits for a free slot. */
const slotWaitRatio = 1 / 4;

/** Runs leased items of the product's own batches, each at one replica under a start that the shard's leader has committed. */
export class OwnItemRunner {
  readonly #options: OwnItemRunnerOptions;

  constructor(options: OwnItemRunnerOptions) {
    this.#options = options;
  }

  /** Resolves when the item is closed or its lease returned; rejects when its close could not be written. */
  async run(offer: LeaseOffer): Promise<void> {
    const { routingState, slotPool, calls, leaving } = this.#options;
    const { configuration } = routingState.tables;
    const service = configuration?.services[offer.service];
    if (configuration === undefined || service === undefined || !routingState.isFresh()) return calls.returnLease(offer);
    const waitMs = configuration.bounds.staleMs * slotWaitRatio;
    const slot = await slotPool.enter(offer.service, offer.quota, 'batch', waitMs, new Set(), leaving);
    // Live tasks use all the capacity: the lease is returned, and no attempt counts.
    if (slot.kind !== 'room') return calls.returnLease(offer);
    try {
      await this.#start({ offer, configuration, service }, slot.address);
    } finally {
      slot.leave();
    }
  }

  async #start(item: OwnItem, address: Parameters<SlotPool['eject']>[0]): Promise<void> {
    const { routingState, calls, clock, counters } = this.#options;
    const { startWindowMs } = item.configuration.bounds;
    const askedMs = clock.nowMs();
    const started = await calls.start(item.offer, startWindowMs).catch(() => undefined);
    if (started?.done === false) {
      counters.add('lot.startRefused');
      return this.#settle(item, undefined);
    }
    // By the monotonic clock: a process that was frozen meanwhile must not send now.
    const isLate = clock.nowMs() - askedMs > startWindowMs;
    if (started === undefined || isLate || !routingState.isFresh()) {
      counters.add('lot.windowMissed');
      return calls.returnLease(item.offer);
    }
    await this.#send(item, address);
  }

  async #send(item: OwnItem, address: Parameters<SlotPool['eject']>[0]): Promise<void> {
    const { replicas, slotPool, calls, counters } = this.#options;
    const { offer, service } = item;
    const id = check(TaskId, `${offer.ref.batch}.${offer.ref.position}.${leaseKey(offer.lease)}`);
    if (!id.ok) return calls.returnLease(offer);
    const pieces: string[] = [];
    const end = await replicas.run(
      { id: id.value, service: offer.service, rule: service, address, input: offer.input },
      (data) => pieces.push(data),
      new AbortController().signal,
    );
    counters.add(`lot.${end.kind}`);
    if (end.kind === 'done') {
      const output = service.kind === 'whole' ? end.body : `[${pieces.join(',')}]`;
      await calls.close(offer, 'COMPLETED', output);
      return this.#settle(item, end);
    }
    slotPool.eject(address);
    const hasNotRun = end.kind === 'unsent' || (end.kind === 'status' && service.notRun.includes(end.status));
    if (hasNotRun) return calls.returnLease(offer);
    if (service.idempotent) await calls.release(offer, { tried: true });
    else await calls.close(offer, 'FAILED', JSON.stringify({ error: 'outcome unknown: the replica may have run it' }));
    this.#settle(item, end);
  }

  #settle({ offer, service }: OwnItem, end: RunEnd | undefined): void {
    const outputBytes = end === undefined || !('bytes' in end) ? 0 : end.bytes;
    const tokens = Math.ceil((offer.input.length + outputBytes) / service.bytesPerToken);
    const outputTokens = Math.ceil(outputBytes / service.bytesPerToken);
    this.#options.calls.settle(offer, end !== undefined, tokens, outputTokens);
  }
}
