import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';
import type { BatchId, RouteName } from '@pewterlanding/model';
import { Batch, BatchReturn } from '../batch/index.js';
import type { BatchRecord, ItemRef, OpenLease } from '../batch/index.js';
import { BatchAges } from './batchAges.js';
import { BatchCommand } from './batchCommand.js';
import { batchShardFormat1 } from './batchShardFormat1.js';
import { BatchShardSnapshot } from './batchShardSnapshot.js';
import { ItemIndex } from './itemIndex.js';
import { RouteBacklog } from './routeBacklog.js';

type CommandOf<K extends BatchCommand['kind']> = Extract<BatchCommand, { kind: K }>;
/** Commands on one item under a lease, and those on batches as a whole. */
type ItemCommand = CommandOf<'release' | 'start' | 'close' | 'lost'>;
type BatchesCommand = Exclude<BatchCommand, ItemCommand | CommandOf<'fence' | 'claim'>>;

interface BatchShardOptions {
  /** Monotonic clock, ms. */
  readonly nowMs?: () => number;
  /** Called after items of a batch became final. */
  readonly finished?: (batch: BatchId) => void;
}

/**
 * The replicated state machine of one batch shard. Commands are applied in log order by every member, and each may be applied twice.
 * Term rule: a dispatcher makes its term known by `fence` or `claim`, and a lease of an older term starts nothing any more.
 */
export class BatchShard implements StateMachine<BatchCommand, BatchReturn> {
  readonly #batches = new Map<BatchId, Batch>();
  readonly #items: ItemIndex;
  readonly #backlog = new RouteBacklog();
  readonly #ages: BatchAges;
  readonly #finished: (batch: BatchId) => void;
  #term = 0;

  constructor({ nowMs = () => 0, finished = () => undefined }: BatchShardOptions = {}) {
    this.#items = new ItemIndex(this.#batches, nowMs);
    this.#ages = new BatchAges(nowMs);
    this.#finished = finished;
  }

  /** The newest dispatcher's term. */
  get term(): number {
    return this.#term;
  }

  get batches(): ReadonlyMap<BatchId, Batch> {
    return this.#batches;
  }

  /** A command from the log, in the present format or in version 1; throws a ValiError for anything else. */
  read(raw: unknown): BatchCommand {
    return v.parse(BatchCommand, batchShardFormat1.command(raw));
  }

  readReturn(raw: unknown): BatchReturn {
    return v.parse(BatchReturn, batchShardFormat1.result(raw));
  }

  snapshot(): BatchShardSnapshot {
    return { term: this.#term, batches: [...this.#batches.values()].map(({ record }) => copyOf(record)) };
  }

  restore(raw: unknown): void {
    const snapshot = v.parse(BatchShardSnapshot, batchShardFormat1.snapshot(raw));
    this.#term = snapshot.term;
    this.#batches.clear();
    this.#items.clear();
    this.#backlog.clear();
    this.#ages.clear();
    for (const record of snapshot.batches) this.#add(new Batch(record));
  }

  apply(command: BatchCommand): BatchReturn {
    switch (command.kind) {
      case 'fence':
        return this.#fence(command.term);
      case 'claim':
        return this.#claim(command);
      case 'release':
      case 'start':
      case 'close':
      case 'lost':
        return this.#applyToItem(command);
      default:
        return this.#applyToBatches(command);
    }
  }

  /** The first `limit` items of each quota that may be dispatched at `wallMs`, and the lengths of all queues. */
  queued(limit: number, wallMs: number): ReturnType<ItemIndex['queued']> {
    return this.#items.queued(limit, wallMs);
  }

  /** Leases of items that are dispatched or in progress. */
  openLeases(): OpenLease[] {
    return this.#items.openLeases();
  }

  /** A batch by its id; one that has a route only for callers under the route's host. */
  find(id: BatchId, host: string | undefined): Batch | undefined {
    const batch = this.#batches.get(id);
    return batch?.record.route?.host === host ? batch : undefined;
  }

  /** Stated tokens of a route's items that are not final. */
  waitingTokens(route: RouteName): number {
    return this.#backlog.tokens(route);
  }

  /** Batches that the leader is to expire or drop, by this member's clock. */
  aged(): ReturnType<BatchAges['aged']> {
    return this.#ages.aged(this.#batches);
  }

  #applyToItem(command: ItemCommand): BatchReturn {
    switch (command.kind) {
      case 'release':
        return this.#withItem(command.ref, (batch, position) => {
          const response = batch.release(position, command);
          if (response.done && command.waitMs !== undefined) this.#items.backOff(batch, position, command.waitMs);
          return response;
        });
      case 'start':
        // A lease of an older term than the newest dispatcher's starts nothing; an opaque item that it started may go on.
        if (command.lease.term < this.#term && !this.#started(command.ref)) return { done: false, reason: 'term' };
        return this.#withItem(command.ref, (batch, position) => batch.start(position, command.lease));
      case 'close':
        return this.#withItem(command.ref, (batch, position) => batch.close(position, command.lease, command.state, command.result));
      case 'lost':
        return this.#withItem(command.ref, (batch, position) => batch.lost(position, command.lease));
    }
  }

  #applyToBatches(command: BatchesCommand): BatchReturn {
    switch (command.kind) {
      case 'submit':
        return this.#submit(command.batch, command.waitingTokens);
      case 'forget':
        this.#forgetBefore(command.beforeMs);
        return { done: true };
      case 'end':
        if (this.find(command.batch, command.host) === undefined) return { done: false, reason: 'unknown' };
        return this.#withAll(command.batch, (batch) => batch.end(command.atMs));
      case 'abandon':
        for (const ref of command.refs) this.#withItem(ref, (batch, position) => batch.abandon(position, command.version));
        return { done: true };
      case 'expire':
        for (const id of command.batches) this.#withAll(id, (batch) => batch.expire());
        return { done: true };
      case 'drop':
        for (const id of command.batches) this.#dropIfDone(id);
        return { done: true };
    }
  }

  #submit(record: BatchRecord, waitingTokensLimit = 0): BatchReturn {
    const known = this.#batches.get(record.id);
    if (known !== undefined) return known.record.bodyHash === record.bodyHash ? { done: true } : { done: false, reason: 'different' };
    const batch = new Batch(record);
    if (this.#backlog.isFullFor(batch, waitingTokensLimit)) return { done: false, reason: 'full' };
    this.#add(batch);
    return { done: true };
  }

  /** Makes a dispatcher's term known, and releases what older terms leased and did not start. */
  #fence(term: number): BatchReturn {
    if (term < this.#term) return { done: false, reason: 'term', term: this.#term };
    this.#term = term;
    for (const { ref, lease, started } of this.openLeases()) {
      if (started || lease.term >= term) continue;
      this.#withItem(ref, (batch, position) => batch.release(position, { lease, notBeforeMs: 0, tried: false, maxAttempts: 0 }));
    }
    return { done: true, term };
  }

  #claim({ term, claims }: CommandOf<'claim'>): BatchReturn {
    if (term < this.#term) return { done: false, reason: 'term', term: this.#term };
    this.#term = term;
    const claimed: ItemRef[] = [];
    for (const { ref, lease } of claims) {
      const { done } = this.#withItem(ref, (batch, position) => ({ done: batch.claim(position, lease) }));
      if (done) claimed.push(ref);
    }
    return { done: true, claimed };
  }

  /** Deletes finished batches without a route; those that have one are kept for as long as the route says. */
  #forgetBefore(beforeMs: number): void {
    for (const [id, { record, done }] of this.#batches)
      if (record.route === undefined && done && record.createdMs < beforeMs) this.#batches.delete(id);
  }

  #dropIfDone(id: BatchId): void {
    if (this.#batches.get(id)?.done !== true) return;
    this.#batches.delete(id);
    this.#ages.delete(id);
  }

  #add(batch: Batch): void {
    this.#batches.set(batch.record.id, batch);
    this.#ages.add(batch);
    this.#backlog.add(batch, batch.waitingTokens);
    this.#items.updateAll(batch);
  }

  #withItem(ref: ItemRef, change: (batch: Batch, position: number) => BatchReturn): BatchReturn {
    return this.#withBatch(ref.batch, (batch) => {
      const response = change(batch, ref.position);
      this.#items.update(batch, ref.position);
      return response;
    });
  }

  #withAll(id: BatchId, change: (batch: Batch) => void): BatchReturn {
    return this.#withBatch(id, (batch) => {
      change(batch);
      this.#items.updateAll(batch);
      return { done: true };
    });
  }

  #withBatch(id: BatchId, change: (batch: Batch) => BatchReturn): BatchReturn {
    const batch = this.#batches.get(id);
    if (batch === undefined) return { done: false, reason: 'unknown' };
    const tokensBefore = batch.waitingTokens;
    const finalBefore = batch.record.order.length;
    const response = change(batch);
    this.#backlog.add(batch, batch.waitingTokens - tokensBefore);
    if (batch.record.order.length > finalBefore) this.#finished(id);
    return response;
  }

  #started(ref: ItemRef): boolean {
    const batch = this.#batches.get(ref.batch);
    return batch?.record.route !== undefined && batch.item(ref.position)?.state === 'IN_PROGRESS';
  }
}

/** Bodies, leases and results are never changed in place, so only what may change is copied. */
function copyOf(record: Batch['record']): BatchRecord {
  return { ...record, order: [...record.order], items: record.items.map((item) => ({ ...item })) };
}
