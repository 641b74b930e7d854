import type { Address, Service, ServiceName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { FailureScores } from './failureScores.js';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import type { Tables } from '../routing/tables.js';
import type { InFlightCounts } from './inFlightCounts.js';

interface ReplicaSelectorOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly zone: string;
  readonly tables: () => Tables;
  readonly inFlight: InFlightCounts;
  readonly counters: Counters;
}

interface SelectionRequest {
  readonly service: ServiceName;
  readonly kind: 'live' | 'batch';
  /** 0 comes first. */
  readonly urgency: number;
  /** Among lots' items that are as urgent, the one that is due first comes first. */
  readonly dueAtMs?: number;
  readonly model: string | undefined;
  readonly promptTokens: number;
  /** The most that it may put out. */
  readonly outputTokens: number;
  /** The shared parts of its prompt, from the front, as one text, and their tokens. */
  readonly shared: string;
  readonly sharedTokens: number;
  /** Keys of replicas that it was sent to already. */
  readonly without: ReadonlySet<string>;
}

/**
 * How a try ended, as far as it tells of the replica's health. `poor` may be the task's doing as well: out of time with no word,
 * or the replica's own failure.
 */
type AttemptOutcome = 'well' | 'hurt' | 'full' | 'poor' | 'unknown';

interface SelectedReplica {
  readonly key: string;
  readonly address: Address;
  readonly instance: string | undefined;
  /** The prompt was read: the first event came. */
  readonly read: () => void;
  /** The replica has been silent for longer than an answer that is in time takes. */
  readonly overdue: () => void;
  readonly leave: (end: AttemptOutcome) => void;
}

interface Held {
  running: number;
  tokens: number;
  /** Tokens of prompts being read. */
  reading: number;
}

interface Hurt {
  readonly times: number;
  readonly untilMs: number;
  trial: boolean;
}

interface Waiting {
  readonly selectionRequest: SelectionRequest;
  readonly done: (selected: SelectedReplica | undefined) => void;
}

/** Replicas keep a line of their own; beyond so many times its slots a task had better wait here, where any replica may take it. */
const overfull = 2;
/** Memory is never planned full, for what does not fit is put back and read anew. */
const memoryRatio = 0.9;
/** Shared parts smaller than this shard of the memory are read anew sooner than searched for. */
const sharedRatio = 1 / 200;
/** The place of a shared part is kept while not much fuller than the others, also when items fill it: live tasks take their places. */
const homeRatio = 1.5;
const homeOverMean = 2;
const homeExtra = 2;
/** How much emptier, in occupancy, a replica in another zone must be to be chosen. */
const zoneRatio = 0.05;
/** First rests after a failure and after a full line, and the longest, as ratios of the silence after which a replica is gone. */
const hurtRatio = 0.05;
const fullRatio = 0.02;
const maxRatio = 2;
const maxFullRatio = 0.1;
/** So many poor ends in a row are taken for the replica's doing. */
const maxPoor = 3;
const minRetryMs = 100;
const maxRetryMs = 500;
const paceMemory = 16;

/** Chooses replicas by the work they have, and keeps what this front has under way at each. */
export class ReplicaSelector {
  readonly #options: ReplicaSelectorOptions;
  readonly #held = new Map<string, Held>();
  readonly #hurt = new Map<string, Hurt>();
  readonly #poor = new Map<string, number>();
  readonly #scores: FailureScores;
  readonly #lines = new Map<ServiceName, Waiting[]>();
  readonly #batches = new Map<ServiceName, number>();
  /** What was under way here when others' use was last heard, by replica. */
  #base: ReadonlyMap<Address, number> = new Map();
  #waiting = 0;
  #paceMs = 0;
  #leftMs = 0;

  constructor(options: ReplicaSelectorOptions) {
    this.#options = options;
    this.#scores = new FailureScores(options.clock, () => options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0);
  }

  /** Live tasks that wait for a place, by service. */
  waiting(service: ServiceName): number {
    return (this.#lines.get(service) ?? []).filter(({ selectionRequest }) => selectionRequest.kind === 'live').length;
  }

  /** Waits for a place. Undefined when there is no replica, the line is full, or a lot's item found none in time. */
  enter(selectionRequest: SelectionRequest, waitMs: number, abort: AbortSignal): Promise<SelectedReplica | undefined> {
    const { clock, tables, counters } = this.#options;
    if (abort.aborted || this.#rows(selectionRequest).length === 0) return Promise.resolve(undefined);
    const now = this.#take(selectionRequest, false);
    if (now !== undefined) return Promise.resolve(now);
    // With the line full too, only circuits set a limit: the replica's own word is better than a guess here.
    if (this.#waiting >= (tables().configuration?.bounds.queue ?? 0) || waitMs <= 0)
      return Promise.resolve(selectionRequest.kind === 'live' ? this.#take(selectionRequest, true) : undefined);
    counters.add('choice.waits');
    return new Promise((resolve) => {
      const line = this.#lines.get(selectionRequest.service) ?? [];
      this.#lines.set(selectionRequest.service, line);
      const waiting: Waiting = {
        selectionRequest,
        done: (selected) => {
          cancel();
          abort.removeEventListener('abort', leave);
          this.#waiting -= 1;
          const at = line.indexOf(waiting);
          if (at >= 0) line.splice(at, 1);
          if (line.length === 0) this.#lines.delete(selectionRequest.service);
          resolve(selected);
        },
      };
      const leave = (): void => waiting.done(undefined);
      // Waited enough: a live task is offered to a full replica rather than refused here, for the replica may still take it.
      const cancel = clock.after(waitMs, () =>
        waiting.done(selectionRequest.kind === 'live' ? this.#take(selectionRequest, true) : undefined),
      );
      abort.addEventListener('abort', leave);
      const position = line.findIndex((other) => before(selectionRequest, other.selectionRequest));
      line.splice(position < 0 ? line.length : position, 0, waiting);
      this.#waiting += 1;
    });
  }

  /** Whether a replica is left for one more try, or that one is able to run it. */
  offers(selectionRequest: SelectionRequest, key?: string): boolean {
    return this.#rows(selectionRequest).some((row) => key === undefined || replicaKey(row.replica) === key);
  }

  /** Others' use was heard anew. */
  heard(): void {
    this.#base = new Map(this.#options.inFlight.all());
  }

  /** Gives freed places to those who wait. Called when one is left and when the tables change. */
  wake(): void {
    for (const line of [...this.#lines.values()])
      for (const waiting of [...line]) {
        const selected = this.#take(waiting.selectionRequest, false);
        if (selected !== undefined) waiting.done(selected);
        // The first that finds none tells enough of those after it, but for the ones that were elsewhere already.
        else if (waiting.selectionRequest.without.size === 0) break;
      }
  }

  /** Forgets replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    this.#scores.retain(keys);
    for (const told of [this.#hurt, this.#poor]) for (const key of told.keys()) if (!keys.has(key)) told.delete(key);
  }

  /** When a refused task may find a place: as long as the line takes at its pace of late. */
  retryAfterMs(service: ServiceName): number {
    const line = (this.#lines.get(service)?.length ?? 0) + 1;
    return Math.min(maxRetryMs, Math.max(minRetryMs, line * this.#paceMs));
  }

  #rows(selectionRequest: SelectionRequest): readonly ReplicaRow[] {
    const rows = (this.#options.tables().replicas.get(selectionRequest.service) ?? []).filter(
      (row) => !selectionRequest.without.has(replicaKey(row.replica)),
    );
    const { model } = selectionRequest;
    if (model === undefined) return rows;
    const able = rows.filter(({ replica }) => replica.models === undefined || replica.models.includes(model));
    // Announcements are a little old: where none names the model, a replica had better say so itself.
    return able.length > 0 ? able : rows;
  }

  /** Places taken here and by others. */
  #total(row: ReplicaRow): number {
    return this.#options.inFlight.at(row.replica.address) + row.others;
  }

  /** Occupancy, prompts being read counted as the shard of the memory that they fill. */
  #weight(row: ReplicaRow, rule: Service | undefined): number {
    const key = replicaKey(row.replica);
    const reading = this.#held.get(key)?.reading ?? 0;
    const filled = rule?.engine === undefined ? 0 : reading / rule.engine.memoryTokens;
    return this.#total(row) / row.replica.slots + filled + this.#scores.penalty(key);
  }

  #fits(row: ReplicaRow, selectionRequest: SelectionRequest, rule: Service | undefined, forced: boolean): boolean {
    const held = this.#held.get(replicaKey(row.replica));
    const { fronts } = this.#options.tables();
    // All fronts together stay below the circuits that a replica takes.
    const connections = rule?.connections === undefined ? Infinity : Math.max(2, Math.floor(rule.connections / fronts));
    if ((held?.running ?? 0) >= connections) return false;
    if (forced) return true;
    if (selectionRequest.kind === 'batch' ? !this.#batchFits(row, selectionRequest) : this.#total(row) >= row.replica.slots * overfull)
      return false;
    if (rule?.engine === undefined || held === undefined || held.running === 0) return true;
    // Others' tasks are taken to be like the ones here.
    const tokens = held.tokens * (1 + row.others / held.running) + selectionRequest.promptTokens + selectionRequest.outputTokens;
    return tokens < rule.engine.memoryTokens * memoryRatio;
  }

  /** Lots leave the reserve free, and take only this front's part of what is there between two words of the others. */
  #batchFits(row: ReplicaRow, selectionRequest: SelectionRequest): boolean {
    const { tables, inFlight } = this.#options;
    const { address, slots } = row.replica;
    // One item runs even while live tasks fill all, in the order of urgency.
    const reserve = tables().configuration?.bounds.liveReserve ?? 0;
    const limit = (this.#batches.get(selectionRequest.service) ?? 0) === 0 ? slots : Math.max(1, Math.floor(slots * (1 - reserve)));
    const base = this.#base.get(address) ?? 0;
    const part = Math.max(1, Math.floor((limit - row.others - base) / tables().fronts));
    return this.#total(row) < limit && inFlight.at(address) < base + part;
  }

  #take(selectionRequest: SelectionRequest, forced: boolean): SelectedReplica | undefined {
    const row = this.#choose(selectionRequest, forced);
    return row === undefined ? undefined : this.#select(row, selectionRequest);
  }

  #choose(selectionRequest: SelectionRequest, forced: boolean): ReplicaRow | undefined {
    const now = this.#options.clock.nowMs();
    const rule = this.#options.tables().configuration?.services[selectionRequest.service];
    const rows = this.#rows(selectionRequest);
    const fit = rows.filter((row) => this.#fits(row, selectionRequest, rule, forced));
    const well = fit.filter((row) => {
      const hurt = this.#hurt.get(replicaKey(row.replica));
      return hurt === undefined || (!hurt.trial && hurt.untilMs <= now);
    });
    const timely = well.filter((row) => !row.late);
    const from = timely.length > 0 ? timely : well;
    if (from.length === 0) {
      // All are hurt: the least hurt, and of those the emptiest, or one would get everything.
      const pain = (row: ReplicaRow): number => (this.#hurt.get(replicaKey(row.replica))?.times ?? 0) + this.#weight(row, rule);
      return fit.reduce<ReplicaRow | undefined>((best, row) => (best === undefined || pain(row) < pain(best) ? row : best), undefined);
    }
    return this.#home(selectionRequest, rule, rows, new Set(from)) ?? this.#emptier(from, rule);
  }

  /** Where the shared parts are kept: the same place by every front, and further down the order only while that is full. */
  #home(
    selectionRequest: SelectionRequest,
    rule: Service | undefined,
    rows: readonly ReplicaRow[],
    from: ReadonlySet<ReplicaRow>,
  ): ReplicaRow | undefined {
    if (rule?.engine === undefined || selectionRequest.sharedTokens < rule.engine.memoryTokens * sharedRatio) return undefined;
    const mean = rows.reduce((sum, row) => sum + this.#weight(row, rule), 0) / rows.length;
    const key = textHash(`${selectionRequest.model ?? ''} ${selectionRequest.shared}`);
    const order = rows
      .map((row) => ({ row, position: mixed(key ^ textHash(replicaKey(row.replica))) }))
      .sort((a, b) => b.position - a.position || (replicaKey(a.row.replica) < replicaKey(b.row.replica) ? -1 : 1));
    return order.find(({ row }) => {
      const weight = this.#weight(row, rule);
      return from.has(row) && weight <= homeRatio && weight <= mean * homeOverMean + homeExtra / row.replica.slots;
    })?.row;
  }

  /** The emptier of two at random: the emptiest of all would be everyone's until the next word of the others. */
  #emptier(from: readonly ReplicaRow[], rule: Service | undefined): ReplicaRow | undefined {
    const { random, zone } = this.#options;
    const at = Math.floor(random() * from.length);
    const first = from[at];
    const second = from.length < 2 ? first : from[(at + 1 + Math.floor(random() * (from.length - 1))) % from.length];
    if (first === undefined || second === undefined) return first;
    const weight = (row: ReplicaRow): number =>
      this.#weight(row, rule) + (row.replica.zone === undefined || row.replica.zone === zone ? 0 : zoneRatio);
    return weight(second) < weight(first) ? second : first;
  }

  #select(row: ReplicaRow, selectionRequest: SelectionRequest): SelectedReplica {
    const { inFlight, clock } = this.#options;
    const { address, instance } = row.replica;
    const key = replicaKey(row.replica);
    const held = this.#held.get(key) ?? { running: 0, tokens: 0, reading: 0 };
    this.#held.set(key, held);
    const tokens = selectionRequest.promptTokens + selectionRequest.outputTokens;
    held.running += 1;
    held.tokens += tokens;
    held.reading += selectionRequest.promptTokens;
    inFlight.begin(address, selectionRequest.kind);
    if (selectionRequest.kind === 'batch')
      this.#batches.set(selectionRequest.service, (this.#batches.get(selectionRequest.service) ?? 0) + 1);
    const hurt = this.#hurt.get(key);
    if (hurt !== undefined) hurt.trial = true;
    let [reading, left, late] = [true, false, false];
    const read = (): void => {
      if (reading) held.reading -= selectionRequest.promptTokens;
      reading = false;
    };
    return {
      key,
      address,
      instance,
      read,
      overdue: () => {
        if (!late && !left) this.#scores.add(key, true);
        late = true;
      },
      leave: (end) => {
        if (left) return;
        left = true;
        read();
        held.running -= 1;
        held.tokens -= tokens;
        if (held.running === 0) this.#held.delete(key);
        inFlight.end(address, selectionRequest.kind);
        if (selectionRequest.kind === 'batch')
          this.#batches.set(selectionRequest.service, (this.#batches.get(selectionRequest.service) ?? 1) - 1);
        this.#learn(key, end);
        if (end === 'well' || ((end === 'hurt' || end === 'poor') && !late)) this.#scores.add(key, end !== 'well');
        const now = clock.nowMs();
        this.#paceMs = this.#paceMs * (1 - 1 / paceMemory) + (now - this.#leftMs) / paceMemory;
        this.#leftMs = now;
        this.wake();
      },
    };
  }

  /** A replica that failed is left alone, longer each time, and then tried by one task at a time until one goes well. */
  #learn(key: string, end: AttemptOutcome): void {
    const before = this.#hurt.get(key);
    if (end === 'well') {
      this.#poor.delete(key);
      this.#hurt.delete(key);
      return;
    }
    if (end === 'poor') this.#poor.set(key, (this.#poor.get(key) ?? 0) + 1);
    if (end === 'unknown' || (end === 'poor' && (this.#poor.get(key) ?? 0) < maxPoor)) {
      if (before !== undefined) before.trial = false;
    } else {
      const now = this.#options.clock.nowMs();
      // What was under way when it failed tells of the same failure.
      if (before !== undefined && before.untilMs > now) return;
      const failureTimeoutMs = this.#options.tables().configuration?.bounds.replicaFailureTimeoutMs ?? 0;
      const times = (before?.times ?? 0) + 1;
      const [first, longest] = end === 'full' ? [fullRatio, maxFullRatio] : [hurtRatio, maxRatio];
      this.#hurt.set(key, { times, untilMs: now + failureTimeoutMs * Math.min(longest, first * 2 ** (times - 1)), trial: false });
      this.#options.counters.add(`replica.${end}`);
    }
  }
}

/** More urgent first, live before lots; first come, first served within. */
function before(one: SelectionRequest, other: SelectionRequest): boolean {
  if (one.kind !== other.kind) return one.kind === 'live';
  if (one.urgency !== other.urgency) return one.urgency < other.urgency;
  return (one.dueAtMs ?? 0) < (other.dueAtMs ?? 0);
}

function textHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return hash;
}

/** Spreads every bit over all: texts that differ in one letter differ everywhere. */
function mixed(hash: number): number {
  let value = hash;
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}
