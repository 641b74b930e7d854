import type { LeaseOffer } from '@pewterlanding/agent';
import { pause } from '@pewterlanding/runtime';
import type { ItemTask } from '@pewterlanding/store';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import { EventText } from '../streaming/eventText.js';
import type { ItemEnd } from './itemEnd.js';
import type { ItemRequests } from './itemRequests.js';
import type { ItemRunnerOptions } from './itemRunnerOptions.js';
import type { ItemSender } from './itemSender.js';
import type { ItemTarget } from './itemTarget.js';
import { itemTargetOf } from './itemTargetOf.js';
import { replicaHealthOf } from './replicaHealthOf.js';

interface ItemRunOptions extends ItemRunnerOptions {
  readonly offer: LeaseOffer;
  readonly item: NonNullable<LeaseOffer['item']>;
  readonly requests: ItemRequests;
  readonly sender: ItemSender;
}

type SelectedReplica = NonNullable<Awaited<ReturnType<ReplicaSelector['enter']>>>;
/** After a step: try the next replica, or the lease has been closed or returned. */
type Next = 'again' | 'over';

/** Limit on the replicas tried under one lease, after which it is returned. */
const maxAttempts = 8;
/** HTTP status by which a replica says that an item can never run. */
const unprocessable = 422;
const internalError = 500;

/** One leased opaque item, tried at replicas until it is closed or its lease is returned. */
export class ItemRun {
  readonly #options: ItemRunOptions;
  /** Kept over the attempts: a later replica resumes after the last event. */
  readonly #text = new EventText();
  /** Keys of replicas that did not take it. */
  readonly #excluded = new Set<string>();
  /** Whether any replica may have run some of it. */
  #ran = false;
  #task: ItemTask | undefined;

  constructor(options: ItemRunOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    let next: Next = 'again';
    for (let attempt = 0; next === 'again'; attempt += 1) next = await this.#attempt(attempt);
  }

  async #attempt(attempt: number): Promise<Next> {
    const { item, routingState, random, selector } = this.#options;
    const tickMs = routingState.tables.configuration?.bounds.tickMs ?? 0;
    const target = itemTargetOf(item, routingState, random);
    if (target === undefined) return this.#returnLease(tickMs);
    if (this.#isStopped() || attempt >= maxAttempts || !routingState.isFresh()) return this.#returnLease(tickMs);
    if (!this.#mayBeSelected(target)) return this.#returnLease(tickMs);
    const { staleMs } = target.configuration.bounds;
    const waitMs = this.#text.last === undefined ? staleMs / 4 : staleMs;
    const selected = await selector.enter(this.#selection(target), waitMs, this.#stopSignal);
    // Live tasks use all the capacity.
    if (selected === undefined) return this.#returnLease(tickMs);
    return this.#attemptAt(target, selected);
  }

  async #attemptAt(target: ItemTarget, selected: SelectedReplica): Promise<Next> {
    const { item, sender, counters, halting } = this.#options;
    let end: ItemEnd | undefined;
    try {
      const task = await this.#start(target, selected);
      if (task === 'again' || task === 'over') return task;
      end = await sender.send({ item, task, target, replica: selected, text: this.#text });
    } finally {
      selected.leave(replicaHealthOf(end, halting.aborted));
    }
    counters.add(`lot.${end.kind}`);
    return this.#afterEnd(end, target, selected.key);
  }

  /** Gets the start from the shard's leader, before every attempt: after its batch has ended no item may reach a replica. */
  async #start(target: ItemTarget, selected: SelectedReplica): Promise<ItemTask | Next> {
    const { offer, calls, clock, routingState, selector, counters } = this.#options;
    const { startWindowMs, tickMs } = target.configuration.bounds;
    const askedMs = clock.nowMs();
    const begun = await calls.begin(offer, startWindowMs).catch(() => undefined);
    if (begun?.response.done === false) {
      counters.add('lot.startRefused');
      return this.#settle();
    }
    // By the monotonic clock: a process that was frozen meanwhile must not send now.
    const isLate = clock.nowMs() - askedMs > startWindowMs;
    if (begun?.task === undefined || isLate || !routingState.isFresh() || this.#isStopped()) {
      counters.add('lot.windowMissed');
      return this.#returnLease(tickMs);
    }
    // Under a configuration that arrived meanwhile the route's prefix may not match the path any more.
    if (routingState.tables.version !== target.version) return 'again';
    if (!begun.task.path.startsWith(target.route.prefix)) return this.#closeFailed();
    this.#task = begun.task;
    // Only the task names its model, which the replica may not have.
    return selector.offers(this.#selection(target), selected.key) ? begun.task : 'again';
  }

  async #afterEnd(end: ItemEnd, target: ItemTarget, key: string): Promise<Next> {
    const { offer, calls, clock } = this.#options;
    const { tickMs } = target.configuration.bounds;
    if (end.kind === 'notRun' || end.kind === 'unsent') {
      this.#excluded.add(key);
      if (this.#text.last !== undefined) await pause(clock, tickMs);
      return 'again';
    }
    this.#ran = true;
    if (end.kind === 'done') {
      await calls.close(offer, 'COMPLETED', this.#text.text);
      return this.#settle();
    }
    if (end.kind === 'status' && end.status === unprocessable) return this.#closeFailed();
    if (end.kind === 'status') return this.#returnLease(tickMs * 2, end.status === internalError);
    this.#excluded.clear();
    return 'again';
  }

  /** What has not run stops when the proxy leaves; what has run may go on until it is halted. */
  get #stopSignal(): AbortSignal {
    return this.#ran ? this.#options.halting : this.#options.leaving;
  }

  #isStopped(): boolean {
    return this.#stopSignal.aborted;
  }

  /** False when every replica has turned the item away. With some of its output received, all are tried again. */
  #mayBeSelected(target: ItemTarget): boolean {
    if (this.#excluded.size === 0 || this.#options.selector.offers(this.#selection(target))) return true;
    if (this.#text.last === undefined) return false;
    this.#excluded.clear();
    return true;
  }

  #selection(target: ItemTarget) {
    const { offer, item, requests } = this.#options;
    return { ...requests.selection(offer, item, target, this.#task), without: this.#excluded };
  }

  async #returnLease(waitMs: number, failed = false): Promise<Next> {
    const { offer, calls } = this.#options;
    if (!this.#ran) {
      await calls.returnLease(offer, waitMs);
      return 'over';
    }
    await calls.release(offer, { tried: false, failed, waitMs });
    return this.#settle();
  }

  async #closeFailed(): Promise<Next> {
    await this.#options.calls.close(this.#options.offer, 'FAILED', '');
    return this.#settle();
  }

  #settle(): Next {
    const { offer, calls } = this.#options;
    calls.settle(offer, this.#ran, this.#ran ? offer.tokens : 0, 0);
    return 'over';
  }
}
