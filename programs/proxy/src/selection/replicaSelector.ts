import type { Service, ServiceName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { Tables } from '../routing/tables.js';
import type { AttemptOutcome } from './attemptOutcome.js';
import { FailureScores } from './failureScores.js';
import type { InFlightCounts } from './inFlightCounts.js';
import { IntervalAverage } from './intervalAverage.js';
import { OutlierEjection } from './outlierEjection.js';
import { PendingQueue } from './pendingQueue.js';
import { PowerOfTwoChoices } from './powerOfTwoChoices.js';
import { prefixAffinity } from './prefixAffinity.js';
import { ReplicaCapacity } from './replicaCapacity.js';
import type { SelectedReplica } from './selectedReplica.js';
import type { SelectionRequest } from './selectionRequest.js';
import { SlotAccounting } from './slotAccounting.js';
import { TokenLoads } from './tokenLoads.js';

interface ReplicaSelectorOptions {
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** The proxy's own zone. */
  readonly zone: string;
  readonly tables: () => Tables;
  readonly inFlight: InFlightCounts;
  /** Whether a connection to the replica with this key is open and idle. */
  readonly hasIdleConnection: (key: string) => boolean;
  readonly counters: Counters;
}

/** Shared prefixes below this part of the memory get no affinity: prefilling them again costs less. */
const minSharedRatio = 1 / 200;
/** Occupancy by which a replica of another zone must be less loaded to be chosen. */
const otherZoneLoad = 0.05;
/**
 * Occupancy by which a replica without an idle connection must be less loaded to be chosen: opening one costs the replica time, and a
 * proxy knows best the load of the few replicas that it uses all the time.
 */
const connectLoad = 0.5;
/** Bounds of the retry-after time. */
const minRetryMs = 100;
const maxRetryMs = 500;

/**
 * Selects replicas for opaque requests: prefix affinity first, then the power of two choices by load, over replicas that are not ejected.
 * Requests that find no free slot wait in a bounded queue.
 */
export class ReplicaSelector {
  readonly #options: ReplicaSelectorOptions;
  readonly #slots: SlotAccounting;
  readonly #tokens = new TokenLoads();
  readonly #capacity: ReplicaCapacity;
  readonly #ejection: OutlierEjection;
  readonly #scores: FailureScores;
  readonly #choices: PowerOfTwoChoices;
  readonly #queue: PendingQueue<SelectionRequest, SelectedReplica | undefined>;
  /** Time between two released slots. */
  readonly #releases = new IntervalAverage(0);

  constructor(options: ReplicaSelectorOptions) {
    this.#options = options;
    const { clock, counters, random, zone, inFlight } = options;
    const failureTimeoutMs = (): number => options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0;
    this.#slots = new SlotAccounting(inFlight);
    this.#capacity = new ReplicaCapacity({ tables: options.tables, slots: this.#slots, tokens: this.#tokens });
    this.#ejection = new OutlierEjection({ clock, counters, failureTimeoutMs });
    this.#scores = new FailureScores(clock, failureTimeoutMs);
    this.#choices = new PowerOfTwoChoices({ random, zone, otherZoneLoad, distinct: true });
    this.#queue = new PendingQueue({ clock, precedes, keepsEmpty: false });
  }

  /** Live requests of a service that wait for a slot. */
  waiting(service: ServiceName): number {
    return this.#queue.of(service).filter(({ request }) => request.kind === 'live').length;
  }

  /**
   * Takes a slot, waiting up to `waitMs` for one. Undefined when the service has no replica left for the request, it was aborted, the
   * queue is full, or no slot became free in time; a live request is then still offered to a full replica, whose own queue may take it.
   */
  enter(request: SelectionRequest, waitMs: number, abort: AbortSignal): Promise<SelectedReplica | undefined> {
    if (abort.aborted || this.#rows(request).length === 0) return Promise.resolve(undefined);
    const selected = this.#take(request, false);
    if (selected !== undefined) return Promise.resolve(selected);
    const maxQueue = this.#options.tables().configuration?.bounds.queue ?? 0;
    if (this.#queue.size >= maxQueue || waitMs <= 0) return Promise.resolve(this.#takeLastResort(request));
    this.#options.counters.add('choice.waits');
    return this.#queue.wait(request.service, request, {
      waitMs,
      abort,
      onTimeout: () => this.#takeLastResort(request),
      onAbort: () => undefined,
    });
  }

  /** Whether a replica is left for another attempt; with `key`, whether that replica is able to serve the request. */
  offers(request: SelectionRequest, key?: string): boolean {
    return this.#rows(request).some((row) => key === undefined || replicaKey(row.replica) === key);
  }

  /** Call when the other proxies' reports of slots in use were received. */
  heard(): void {
    this.#slots.reportsReceived();
  }

  /** Serves the queues. Called when a slot is released and when the routing tables change. */
  wake(): void {
    for (const service of this.#queue.services()) this.#serve(service);
  }

  /** Forgets replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    this.#scores.retain(keys);
    this.#ejection.retain(keys);
  }

  /** When a refused request may find a slot, in milliseconds: the queue's length times the average time between released slots. */
  retryAfterMs(service: ServiceName): number {
    const position = this.#queue.of(service).length + 1;
    return Math.min(maxRetryMs, Math.max(minRetryMs, position * this.#releases.averageMs));
  }

  #serve(service: ServiceName): void {
    for (const pending of this.#queue.of(service)) {
      const selected = this.#take(pending.request, false);
      if (selected !== undefined) this.#queue.settle(pending, selected);
      // Requests behind one that fits nowhere fit nowhere either, unless earlier attempts excluded replicas for it alone.
      else if (pending.request.without.size === 0) return;
    }
  }

  #rule(request: SelectionRequest): Service | undefined {
    return this.#options.tables().configuration?.services[request.service];
  }

  /** Replicas of the service that no earlier attempt was sent to and that serve the model. */
  #rows(request: SelectionRequest): readonly ReplicaRow[] {
    const all = this.#options.tables().replicas.get(request.service) ?? [];
    const rows = all.filter((row) => !request.without.has(replicaKey(row.replica)));
    const { model } = request;
    if (model === undefined) return rows;
    const able = rows.filter(({ replica }) => replica.models === undefined || replica.models.includes(model));
    // Announcements lag behind: where none names the model, the replica is left to refuse the request itself.
    return able.length > 0 ? able : rows;
  }

  /** Occupancy, with prompt tokens not yet processed as a part of the memory, and a penalty for recent failures. */
  #load(row: ReplicaRow, rule: Service | undefined): number {
    const key = replicaKey(row.replica);
    const { prefillTokens } = this.#tokens.at(key);
    const prefillLoad = rule?.engine === undefined ? 0 : prefillTokens / rule.engine.memoryTokens;
    return this.#slots.inUse(row) / row.replica.slots + prefillLoad + this.#scores.penalty(key);
  }

  #take(request: SelectionRequest, ignoresBacklog: boolean): SelectedReplica | undefined {
    const row = this.#choose(request, ignoresBacklog);
    return row === undefined ? undefined : this.#begin(row, request);
  }

  /** With no slot in time only connections limit live requests: the replica knows better than this proxy whether it has a slot. */
  #takeLastResort(request: SelectionRequest): SelectedReplica | undefined {
    return request.kind === 'live' ? this.#take(request, true) : undefined;
  }

  #choose(request: SelectionRequest, ignoresBacklog: boolean): ReplicaRow | undefined {
    const nowMs = this.#options.clock.nowMs();
    const rule = this.#rule(request);
    const rows = this.#rows(request);
    const hasCapacity = (row: ReplicaRow): boolean => ignoresBacklog || this.#capacity.has(row, request, rule);
    const fitting = rows.filter((row) => this.#capacity.hasConnection(row, rule) && hasCapacity(row));
    const available = fitting.filter((row) => this.#ejection.isAvailable(replicaKey(row.replica), nowMs));
    if (available.length === 0) return this.#leastFailed(fitting, rule);
    const timely = available.filter((row) => !row.late);
    const candidates = timely.length > 0 ? timely : available;
    const loadOf = (row: ReplicaRow): number => this.#load(row, rule);
    return this.#home(request, rule, rows, candidates) ?? this.#chooseConnected(candidates, loadOf);
  }

  /** The power of two choices among the replicas with an idle connection, unless two others chosen alike are less loaded by far. */
  #chooseConnected(candidates: readonly ReplicaRow[], loadOf: (row: ReplicaRow) => number): ReplicaRow | undefined {
    const any = this.#choices.choose(candidates, loadOf);
    const connected = this.#choices.choose(
      candidates.filter(({ replica }) => this.#options.hasIdleConnection(replicaKey(replica))),
      loadOf,
    );
    if (any === undefined || connected === undefined) return any;
    return loadOf(connected) <= loadOf(any) + connectLoad ? connected : any;
  }

  /** With every replica ejected, failures and load are added: the one that failed least would otherwise get every request. */
  #leastFailed(rows: readonly ReplicaRow[], rule: Service | undefined): ReplicaRow | undefined {
    const costOf = (row: ReplicaRow): number => this.#ejection.consecutiveFailures(replicaKey(row.replica)) + this.#load(row, rule);
    return rows.reduce<ReplicaRow | undefined>((best, row) => (best === undefined || costOf(row) < costOf(best) ? row : best), undefined);
  }

  #home(
    request: SelectionRequest,
    rule: Service | undefined,
    rows: readonly ReplicaRow[],
    candidates: readonly ReplicaRow[],
  ): ReplicaRow | undefined {
    if (rule?.engine === undefined || request.sharedTokens < rule.engine.memoryTokens * minSharedRatio) return undefined;
    return prefixAffinity({
      affinityKey: `${request.model ?? ''} ${request.shared}`,
      rows,
      candidates: new Set(candidates),
      loadOf: (row) => this.#load(row, rule),
    });
  }

  #begin(row: ReplicaRow, request: SelectionRequest): SelectedReplica {
    const { address, instance } = row.replica;
    const key = replicaKey(row.replica);
    this.#tokens.begin(key, request);
    this.#slots.begin(request.service, address, request.kind);
    this.#ejection.attemptBegun(key);
    let isPrefilled = false;
    let isOverdue = false;
    let isReleased = false;
    const read = (): void => {
      if (!isPrefilled) this.#tokens.prefilled(key, request);
      isPrefilled = true;
    };
    const overdue = (): void => {
      if (!isOverdue && !isReleased) this.#scores.add(key, true);
      isOverdue = true;
    };
    const leave = (outcome: AttemptOutcome): void => {
      if (isReleased) return;
      isReleased = true;
      read();
      this.#tokens.end(key, request);
      this.#slots.end(request.service, address, request.kind);
      this.#ejection.attemptEnded(key, outcome);
      this.#score(key, outcome, isOverdue);
      this.#releases.add(this.#options.clock.nowMs());
      this.wake();
    };
    return { key, address, instance, read, overdue, leave };
  }

  /** A failure that was overdue before is scored already. */
  #score(key: string, outcome: AttemptOutcome, wasOverdue: boolean): void {
    if (outcome === 'succeeded') this.#scores.add(key, false);
    else if ((outcome === 'failed' || outcome === 'suspect') && !wasOverdue) this.#scores.add(key, true);
  }
}

/** Live requests before batch items, then by urgency, then by deadline; first come, first served among equals. */
function precedes(one: SelectionRequest, other: SelectionRequest): boolean {
  if (one.kind !== other.kind) return one.kind === 'live';
  if (one.urgency !== other.urgency) return one.urgency < other.urgency;
  return (one.dueAtMs ?? 0) < (other.dueAtMs ?? 0);
}
