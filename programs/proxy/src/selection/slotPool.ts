import type { Address, QuotaName, ServiceName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { Tables } from '../routing/tables.js';
import type { InFlightCounts } from './inFlightCounts.js';

type Kind = 'live' | 'batch';

interface Waiting {
  readonly quota: QuotaName;
  readonly kind: Kind;
  readonly without: ReadonlySet<string>;
  readonly done: (granted: Given) => void;
}

type Given =
  | {
      readonly kind: 'room';
      readonly address: Address;
      readonly instance: string | undefined;
      /** What tells this replica from others, for `without`. */
      readonly key: string;
      readonly leave: () => void;
    }
  | { readonly kind: 'none' | 'shed' };

interface SlotPoolOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly zone: string;
  readonly tables: () => Tables;
  readonly inFlight: InFlightCounts;
  readonly counters: Counters;
}

/** A replica that failed is left alone for a while, as a ratio of the silence after which it would be gone. */
const hurtRatio = 0.2;
/** The pace is an average over about so many slots given. */
const paceMemory = 16;
/** How much emptier a replica in another zone must be to be chosen. */
const zoneRatio = 0.25;

/** The slots of the replicas as this front uses them, and the bounded line of tasks that wait for one. */
export class SlotPool {
  readonly #options: SlotPoolOptions;
  readonly #batches = new Map<ServiceName, number>();
  /** What was under way here when others' use was last heard, by replica. */
  readonly #base = new Map<Address, number>();
  readonly #lines = new Map<ServiceName, Waiting[]>();
  readonly #pace = new Map<ServiceName, { readonly lastMs: number; readonly everyMs: number }>();
  readonly #hurtUntilMs = new Map<Address, number>();
  #waiting = 0;

  constructor(options: SlotPoolOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#waiting;
  }

  live(): { readonly service: ServiceName; readonly running: number; readonly waiting: number }[] {
    const { replicas } = this.#options.tables();
    const names = new Set<ServiceName>([...this.#lines.keys()]);
    for (const rows of replicas.values()) for (const row of rows) names.add(row.replica.service);
    return [...names].map((service) => {
      const rows = replicas.get(service) ?? [];
      // Services may share replicas, so what counts is all that is live at their replicas.
      const running = rows.reduce((sum, { replica }) => sum + this.#options.inFlight.liveAt(replica.address), 0);
      const waiting = (this.#lines.get(service) ?? []).filter((one) => one.kind === 'live').length;
      return { service, running, waiting };
    });
  }

  /** Waits for a slot; 'none' when the time is over, 'shed' when the line is full and this branch has the most in it. */
  enter(
    service: ServiceName,
    quota: QuotaName,
    kind: Kind,
    waitMs: number,
    without: ReadonlySet<string>,
    abort: AbortSignal,
  ): Promise<Given> {
    const now = this.#give(service, kind, without);
    if (now !== undefined) return Promise.resolve(now);
    return new Promise((resolve) => {
      const line = this.#lines.get(service) ?? [];
      this.#lines.set(service, line);
      let cancel = (): void => undefined;
      const waiting: Waiting = {
        quota,
        kind,
        without,
        done: (granted) => {
          cancel();
          abort.removeEventListener('abort', leave);
          resolve(granted);
        },
      };
      const leave = (): void => this.#remove(service, waiting, 'none');
      cancel = this.#options.clock.after(waitMs, leave);
      abort.addEventListener('abort', leave);
      line.push(waiting);
      this.#waiting += 1;
      if (kind === 'live') this.#shed();
    });
  }

  /** When a task that found no room may find some: as long as those before it take at the pace at which slots were given of late. */
  retryAfterMs(service: ServiceName): number {
    const { configuration } = this.#options.tables();
    const maxMs = configuration?.bounds.replicaFailureTimeoutMs ?? 0;
    const pace = this.#pace.get(service);
    const waiting = (this.#lines.get(service) ?? []).length + 1;
    // Where none was given of late, a replica has to come first.
    if (pace === undefined) return maxMs;
    const sinceMs = this.#options.clock.nowMs() - pace.lastMs;
    return Math.min(maxMs, waiting * Math.max(pace.everyMs, sinceMs / paceMemory));
  }

  hurt(address: Address): void {
    const failureTimeoutMs = this.#options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0;
    this.#hurtUntilMs.set(address, this.#options.clock.nowMs() + failureTimeoutMs * hurtRatio);
  }

  /** Whether any replica is left for one more try, now or when it has room. */
  offers(service: ServiceName, without: ReadonlySet<string>): boolean {
    return (this.#options.tables().replicas.get(service) ?? []).some((row) => !without.has(replicaKey(row.replica)));
  }

  /** Others' use was heard anew. */
  heard(): void {
    this.#base.clear();
    for (const [address, running] of this.#options.inFlight.all()) this.#base.set(address, running);
  }

  /** Gives freed slots to those who wait. Called when a slot is left and when the tables change. */
  wake(): void {
    for (const [service, line] of this.#lines) {
      let granted = true;
      while (granted && line.length > 0) {
        granted = false;
        // A lot with nothing running comes first: that is its floor. Otherwise live tasks do.
        const batchFirst = (this.#batches.get(service) ?? 0) === 0;
        const order = [...line].sort(
          (a, b) => Number(b.kind === (batchFirst ? 'batch' : 'live')) - Number(a.kind === (batchFirst ? 'batch' : 'live')),
        );
        for (const waiting of order.slice(0, 8)) {
          const room = this.#give(service, waiting.kind, waiting.without);
          if (room === undefined) continue;
          this.#take(service, waiting);
          waiting.done(room);
          granted = true;
          break;
        }
      }
      if (line.length === 0) this.#lines.delete(service);
    }
  }

  #give(service: ServiceName, kind: Kind, without: ReadonlySet<string>): Given | undefined {
    const row = this.#choose(service, kind, without);
    if (row === undefined) return undefined;
    const { address, instance } = row.replica;
    this.#keepPace(service);
    this.#options.inFlight.begin(address, kind);
    if (kind === 'batch') this.#batches.set(service, (this.#batches.get(service) ?? 0) + 1);
    let left = false;
    const leave = (): void => {
      if (left) return;
      left = true;
      this.#options.inFlight.end(address, kind);
      if (kind === 'batch') this.#batches.set(service, (this.#batches.get(service) ?? 1) - 1);
      this.wake();
    };
    return { kind: 'room', address, instance, key: replicaKey(row.replica), leave };
  }

  /** A moving average of the time between two slots given. */
  #keepPace(service: ServiceName): void {
    const now = this.#options.clock.nowMs();
    const known = this.#pace.get(service);
    const sinceMs = now - (known?.lastMs ?? now);
    this.#pace.set(service, {
      lastMs: now,
      everyMs: known === undefined ? 0 : known.everyMs * (1 - 1 / paceMemory) + sinceMs / paceMemory,
    });
  }

  /** Two at random, the emptier of them; one in the own zone counts as emptier. */
  #choose(service: ServiceName, kind: Kind, without: ReadonlySet<string>): ReplicaRow | undefined {
    const { replicas, configuration, fronts } = this.#options.tables();
    const now = this.#options.clock.nowMs();
    const reserve = configuration?.bounds.liveReserve ?? 0;
    const total = (row: ReplicaRow): number => this.#options.inFlight.at(row.replica.address) + row.others;
    const batchFloorRatio = (this.#batches.get(service) ?? 0) === 0;
    const limit = (row: ReplicaRow): number =>
      kind === 'batch' && !batchFloorRatio ? Math.floor(row.replica.slots * (1 - reserve)) : row.replica.slots;
    // Between two words of the others only this front's part of the free slots may be taken, or all would take them all.
    const allowed = (row: ReplicaRow): boolean => {
      const base = this.#base.get(row.replica.address) ?? 0;
      const free = row.replica.slots - row.others - base;
      return this.#options.inFlight.at(row.replica.address) < base + Math.max(1, Math.floor(free / fronts));
    };
    const fit = (replicas.get(service) ?? []).filter(
      (row) =>
        total(row) < limit(row) &&
        allowed(row) &&
        !without.has(replicaKey(row.replica)) &&
        (this.#hurtUntilMs.get(row.replica.address) ?? 0) <= now,
    );
    const weight = (row: ReplicaRow): number =>
      total(row) / row.replica.slots + (row.replica.zone === undefined || row.replica.zone === this.#options.zone ? 0 : zoneRatio);
    const timely = fit.filter((row) => !row.late);
    const from = timely.length > 0 ? timely : fit;
    const first = from[Math.floor(this.#options.random() * from.length)];
    const second = from[Math.floor(this.#options.random() * from.length)];
    if (first === undefined || second === undefined) return undefined;
    return weight(second) < weight(first) ? second : first;
  }

  /** Over the bound, the branch that has most waiting for its share loses its newest. */
  #shed(): void {
    const { configuration, tree } = this.#options.tables();
    if (configuration === undefined || this.#waiting <= configuration.bounds.queue) return;
    const counts = new Map<QuotaName, number>();
    const all = [...this.#lines].flatMap(([service, line]) => line.filter((one) => one.kind === 'live').map((one) => ({ service, one })));
    for (const { one } of all) counts.set(one.quota, (counts.get(one.quota) ?? 0) + 1);
    const worst = [...counts].sort((a, b) => b[1] / Math.max(tree.ownShare(b[0]), 1e-9) - a[1] / Math.max(tree.ownShare(a[0]), 1e-9))[0];
    const victim = all.filter(({ one }) => one.quota === worst?.[0]).at(-1);
    if (victim === undefined) return;
    this.#options.counters.add('room.shed');
    this.#remove(victim.service, victim.one, 'shed');
  }

  #remove(service: ServiceName, waiting: Waiting, reason: 'none' | 'shed'): void {
    if (this.#take(service, waiting)) waiting.done({ kind: reason });
  }

  /** Out of the line first, and only then refused: what was refused can never run. */
  #take(service: ServiceName, waiting: Waiting): boolean {
    const line = this.#lines.get(service);
    const at = line?.indexOf(waiting) ?? -1;
    if (line === undefined || at < 0) return false;
    line.splice(at, 1);
    this.#waiting -= 1;
    return true;
  }
}
