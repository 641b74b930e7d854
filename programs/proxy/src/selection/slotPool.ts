import type { Address, QuotaName, ServiceName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { Tables } from '../routing/tables.js';
import type { InFlightCounts } from './inFlightCounts.js';
import { IntervalAverage } from './intervalAverage.js';
import { PendingQueue } from './pendingQueue.js';
import type { PendingRequest } from './pendingRequest.js';
import { PowerOfTwoChoices } from './powerOfTwoChoices.js';
import { SlotAccounting } from './slotAccounting.js';

type RequestKind = 'live' | 'batch';

interface SlotRequest {
  readonly quota: QuotaName;
  readonly kind: RequestKind;
  readonly without: ReadonlySet<string>;
}

type SlotGrant =
  | {
      readonly kind: 'room';
      readonly address: Address;
      readonly instance: string | undefined;
      /** Identifies the replica, for `without`. */
      readonly key: string;
      /** Releases the slot; later calls do nothing. */
      readonly leave: () => void;
    }
  /** No slot in time or aborted; or shed from a full queue. */
  | { readonly kind: 'none' | 'shed' };

type PendingSlot = PendingRequest<SlotRequest, SlotGrant>;

interface SlotPoolOptions {
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** The proxy's own zone. */
  readonly zone: string;
  readonly tables: () => Tables;
  readonly inFlight: InFlightCounts;
  readonly counters: Counters;
}

/** Ejection time after a failure, as a ratio of the silence after which a replica counts as gone. */
const ejectionRatio = 0.2;
/** Occupancy by which a replica of another zone must be less loaded to be chosen. */
const otherZoneLoad = 0.25;
/** Requests that are looked at before the queue of a service counts as blocked. */
const maxLookahead = 8;
/** Stands for the share of a quota that has none. */
const minShare = 1e-9;

/**
 * Slots of replicas for inspected requests, chosen by the power of two choices, with a bounded queue. A full queue sheds the newest request
 * of the quota that has most waiting for its share.
 */
export class SlotPool {
  readonly #options: SlotPoolOptions;
  readonly #slots: SlotAccounting;
  readonly #choices: PowerOfTwoChoices;
  readonly #queue: PendingQueue<SlotRequest, SlotGrant>;
  /** Time between two granted slots. */
  readonly #grants = new Map<ServiceName, IntervalAverage>();
  readonly #ejectedUntilMs = new Map<Address, number>();

  constructor(options: SlotPoolOptions) {
    this.#options = options;
    const { clock, random, zone, inFlight } = options;
    this.#slots = new SlotAccounting(inFlight);
    this.#choices = new PowerOfTwoChoices({ random, zone, otherZoneLoad, distinct: false });
    // A service is reported by `live` until its empty queue is next served.
    this.#queue = new PendingQueue({ clock, keepsEmpty: true });
  }

  /** Requests waiting for a slot, live requests and batch items. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Live requests in flight and waiting, by service. */
  live(): { readonly service: ServiceName; readonly running: number; readonly waiting: number }[] {
    const { replicas } = this.#options.tables();
    const services = new Set<ServiceName>(this.#queue.services());
    for (const rows of replicas.values()) for (const row of rows) services.add(row.replica.service);
    return [...services].map((service) => {
      const rows = replicas.get(service) ?? [];
      // Services may share replicas: all live requests at their replicas count.
      const running = rows.reduce((sum, { replica }) => sum + this.#options.inFlight.liveAt(replica.address), 0);
      const waiting = this.#queue.of(service).filter(({ request }) => request.kind === 'live').length;
      return { service, running, waiting };
    });
  }

  /** Takes a slot, waiting up to `waitMs` for one: 'none' when it times out or is aborted, 'shed' when the queue was full. */
  enter(
    service: ServiceName,
    quota: QuotaName,
    kind: RequestKind,
    waitMs: number,
    without: ReadonlySet<string>,
    abort: AbortSignal,
  ): Promise<SlotGrant> {
    const granted = this.#grant(service, kind, without);
    if (granted !== undefined) return Promise.resolve(granted);
    const none = (): SlotGrant => ({ kind: 'none' });
    const waiting = this.#queue.wait(service, { quota, kind, without }, { waitMs, abort, onTimeout: none, onAbort: none });
    if (kind === 'live') this.#shed();
    return waiting;
  }

  /** When a refused request may find a slot, in milliseconds: the queue's length times the average time between grants. */
  retryAfterMs(service: ServiceName): number {
    const maxMs = this.#options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0;
    const grants = this.#grants.get(service);
    // Without a grant so far a replica has to appear first.
    if (grants === undefined) return maxMs;
    const position = this.#queue.of(service).length + 1;
    return Math.min(maxMs, position * grants.atLeastSince(this.#options.clock.nowMs()));
  }

  /** Ejects a replica that failed, for a fixed time. */
  eject(address: Address): void {
    const failureTimeoutMs = this.#options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0;
    this.#ejectedUntilMs.set(address, this.#options.clock.nowMs() + failureTimeoutMs * ejectionRatio);
  }

  /** Whether a replica is left for another attempt, now or when it has a free slot. */
  offers(service: ServiceName, without: ReadonlySet<string>): boolean {
    return (this.#options.tables().replicas.get(service) ?? []).some((row) => !without.has(replicaKey(row.replica)));
  }

  /** Call when the other proxies' reports of slots in use were received. */
  heard(): void {
    this.#slots.reportsReceived();
  }

  /** Serves the queues. Called when a slot is released and when the routing tables change. */
  wake(): void {
    for (const service of this.#queue.services()) {
      let isServed = true;
      while (isServed) isServed = this.#serveOne(service);
      this.#queue.dropIfEmpty(service);
    }
  }

  /** Grants one slot to the first request in order of priority that can use it; false when there is none. */
  #serveOne(service: ServiceName): boolean {
    // A service without batch items in flight serves one first, so that batches make progress under any load; otherwise live requests.
    const firstKind: RequestKind = this.#slots.hasBatchItems(service) ? 'live' : 'batch';
    const rankOf = ({ request }: PendingSlot): number => Number(request.kind === firstKind);
    const ordered = this.#queue.of(service).sort((a, b) => rankOf(b) - rankOf(a));
    for (const pending of ordered.slice(0, maxLookahead)) {
      const { kind, without } = pending.request;
      const granted = this.#grant(service, kind, without);
      if (granted === undefined) continue;
      this.#queue.settle(pending, granted);
      return true;
    }
    return false;
  }

  #grant(service: ServiceName, kind: RequestKind, without: ReadonlySet<string>): SlotGrant | undefined {
    const row = this.#choose(service, kind, without);
    if (row === undefined) return undefined;
    const { address, instance } = row.replica;
    this.#countGrant(service);
    this.#slots.begin(service, address, kind);
    let isReleased = false;
    const leave = (): void => {
      if (isReleased) return;
      isReleased = true;
      this.#slots.end(service, address, kind);
      this.wake();
    };
    return { kind: 'room', address, instance, key: replicaKey(row.replica), leave };
  }

  #countGrant(service: ServiceName): void {
    const grants = this.#grants.get(service) ?? new IntervalAverage();
    this.#grants.set(service, grants);
    grants.add(this.#options.clock.nowMs());
  }

  #choose(service: ServiceName, kind: RequestKind, without: ReadonlySet<string>): ReplicaRow | undefined {
    const { replicas, fronts } = this.#options.tables();
    const nowMs = this.#options.clock.nowMs();
    const fitting = (replicas.get(service) ?? []).filter(
      (row) =>
        this.#slots.inUse(row) < this.#slotLimit(row, service, kind) &&
        this.#slots.isWithinShare(row, row.replica.slots, fronts) &&
        !without.has(replicaKey(row.replica)) &&
        (this.#ejectedUntilMs.get(row.replica.address) ?? 0) <= nowMs,
    );
    const timely = fitting.filter((row) => !row.late);
    const candidates = timely.length > 0 ? timely : fitting;
    return this.#choices.choose(candidates, (row) => this.#slots.inUse(row) / row.replica.slots);
  }

  /** Batch items leave the live reserve free, except for one per service. */
  #slotLimit({ replica }: ReplicaRow, service: ServiceName, kind: RequestKind): number {
    if (kind === 'live' || !this.#slots.hasBatchItems(service)) return replica.slots;
    const reserve = this.#options.tables().configuration?.bounds.liveReserve ?? 0;
    return Math.floor(replica.slots * (1 - reserve));
  }

  /** Over the bound of the queue, the quota that has most waiting for its share loses its newest live request. */
  #shed(): void {
    const { configuration } = this.#options.tables();
    if (configuration === undefined || this.#queue.size <= configuration.bounds.queue) return;
    const live = this.#pendingLive();
    const quota = this.#mostOverShare(live);
    const victim = live.findLast(({ request }) => request.quota === quota);
    if (victim === undefined) return;
    this.#options.counters.add('room.shed');
    this.#queue.settle(victim, { kind: 'shed' });
  }

  #pendingLive(): PendingSlot[] {
    const live: PendingSlot[] = [];
    for (const service of this.#queue.services())
      for (const pending of this.#queue.of(service)) if (pending.request.kind === 'live') live.push(pending);
    return live;
  }

  /** The quota with the most requests waiting for its share; among equals the one that was counted first. */
  #mostOverShare(pending: readonly PendingSlot[]): QuotaName | undefined {
    const { tree } = this.#options.tables();
    const counts = new Map<QuotaName, number>();
    for (const { request } of pending) counts.set(request.quota, (counts.get(request.quota) ?? 0) + 1);
    let most: { readonly quota: QuotaName; readonly ratio: number } | undefined;
    for (const [quota, count] of counts) {
      const ratio = count / Math.max(tree.ownShare(quota), minShare);
      if (most === undefined || ratio > most.ratio) most = { quota, ratio };
    }
    return most?.quota;
  }
}
