import type { ItemId } from '@pewterlanding/model';
import { dueTimeOf } from './dueTimeOf.js';
import type { Item } from './item.js';
import type { Lease } from '../leases/index.js';
import type { ItemTask } from './itemTask.js';
import type { BatchOutcomes } from './batchOutcomes.js';
import type { BatchRecord } from './batchRecord.js';
import type { BatchReturn } from './batchReturn.js';
import type { BatchView } from './batchView.js';
import { FinalResults } from './finalResults.js';
import { isFinal } from './isFinal.js';
import { outcomesFrom } from './outcomesFrom.js';
import { toBatchView } from './toBatchView.js';
import { sameLease } from '../leases/index.js';

interface ReleaseOptions {
  readonly lease: Lease;
  /** Wall clock, ms: the item is not dispatched before. */
  readonly notBeforeMs: number;
  /** Whether the quota refused it, which counts as an attempt. */
  readonly tried: boolean;
  /** Attempts after which an item that is not opaque fails. */
  readonly maxAttempts: number;
  /** Whether a replica answered 500, which counts as a failure. */
  readonly failed?: boolean | undefined;
}

/** Results of items that failed without a run of their own to report; callers read these bytes. */
const attemptsExhausted = JSON.stringify({ error: 'the budget refused it too often' });
const outcomeUnknown = JSON.stringify({ error: 'outcome unknown: the front that ran it was lost' });

/**
 * A batch in memory: the state machine of its items (QUEUED, DISPATCHED, IN_PROGRESS, then a final state).
 * A transition needs the item's current lease, and a final state never changes, so each command may be applied twice.
 */
export class Batch {
  readonly #record: BatchRecord & { readonly order: number[] };
  #open = 0;
  #waitingTokens = 0;
  readonly #results: FinalResults;

  constructor(record: BatchRecord) {
    this.#record = { ...record, order: [...(record.order ?? [])], items: record.items.map(ownItem) };
    this.#results = new FinalResults(this.#record.items);
    for (const item of this.#record.items) {
      if (isFinal(item.state)) continue;
      this.#open += 1;
      this.#waitingTokens += item.tokens ?? 0;
    }
  }

  get record(): BatchRecord & { readonly order: readonly number[] } {
    return this.#record;
  }

  get done(): boolean {
    return this.#open === 0;
  }

  /** Stated tokens of the items that are not final; items without a stated size count as 0. */
  get waitingTokens(): number {
    return this.#waitingTokens;
  }

  /** The item at this index of the batch. */
  item(position: number): Item | undefined {
    return this.#record.items[position];
  }

  /** Tokens to reserve for an item: as stated, or else estimated from its input's length and the service's usual output. */
  estimate(position: number): number {
    const item = this.#record.items[position];
    if (item === undefined) return 0;
    if (item.tokens !== undefined) return item.tokens;
    return Math.ceil(item.input.length / this.#record.bytesPerToken + this.#record.outputTokens);
  }

  /** Wall clock, ms. */
  dueAtMs(position: number): number {
    const item = this.item(position);
    return item === undefined ? 0 : dueTimeOf(this.#record, item);
  }

  /** QUEUED to DISPATCHED under a lease. True also for a repeat under the same lease. */
  claim(position: number, lease: Lease): boolean {
    const item = this.item(position);
    if (item === undefined || item.state !== 'QUEUED') return sameLease(item?.lease, lease);
    item.state = 'DISPATCHED';
    item.lease = lease;
    return true;
  }

  /** DISPATCHED to IN_PROGRESS: from here on the item may run. Refused once the batch was ended. */
  start(position: number, lease: Lease): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    // An opaque item starts again before each retry at another replica, so it is refused also while IN_PROGRESS.
    if (this.#record.endedMs !== undefined && (this.#record.route !== undefined || item.state !== 'IN_PROGRESS'))
      return { done: false, reason: 'ended' };
    if (!sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (item.state === 'DISPATCHED') item.state = 'IN_PROGRESS';
    return item.state === 'IN_PROGRESS' ? { done: true } : { done: false, reason: 'state' };
  }

  /** Back to QUEUED, or FAILED once its attempts are exhausted. */
  release(position: number, { lease, notBeforeMs, tried, maxAttempts, failed }: ReleaseOptions): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    // Allowed after the start too: the lease holder states that nothing was sent, and that nothing will be.
    if (!sameLease(item.lease, lease) || isFinal(item.state)) return { done: false, reason: 'lease' };
    if (tried) item.attempts += 1;
    if (failed === true) item.failures = (item.failures ?? 0) + 1;
    const { route } = this.#record;
    const failures = item.failures ?? 0;
    // An opaque item fails only by its route's limit of 500 responses; refusals by the quota don't count there.
    if (route !== undefined && failures >= route.attempts) this.#finish(position, 'FAILED', undefined);
    else if (route === undefined && item.attempts > maxAttempts) this.#finish(position, 'FAILED', attemptsExhausted);
    else this.#requeue(position, notBeforeMs);
    return { done: true };
  }

  /** Writes the result, once. A repeat under the same lease succeeds without a change; another lease is refused. */
  close(position: number, lease: Lease, state: 'COMPLETED' | 'FAILED', result: string): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    if (!sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (isFinal(item.state)) return { done: true };
    if (item.state !== 'IN_PROGRESS') return { done: false, reason: 'state' };
    this.#finish(position, state, result);
    return { done: true };
  }

  /** The lease holder is lost. Whether a started item ran is unknown, so it is queued again only if it is idempotent. */
  lost(position: number, lease: Lease): BatchReturn {
    const item = this.item(position);
    if (item === undefined || !sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (item.state === 'DISPATCHED') this.#requeue(position, 0);
    else if (item.state !== 'IN_PROGRESS') return { done: false, reason: 'state' };
    else if (this.#record.idempotent && this.#record.endedMs === undefined) this.#requeue(position, 0);
    else this.#finish(position, 'FAILED', outcomeUnknown);
    return { done: true };
  }

  /** Cancels the batch at `atMs` (wall clock): what has not started ends, what runs may finish. */
  end(atMs: number): void {
    if (this.#record.endedMs !== undefined) return;
    this.#record.endedMs = atMs;
    // A running opaque item must not be retried at another replica, so it ends now; its front learns this from its close.
    const endsRunning = this.#record.route !== undefined;
    this.#record.items.forEach(({ state }, position) => {
      if (state === 'QUEUED' || state === 'DISPATCHED' || (endsRunning && state === 'IN_PROGRESS'))
        this.#finish(position, 'ENDED', undefined);
    });
  }

  /**
   * Fails a queued item whose route is missing from this configuration version.
   * A version older than that of the submission proves nothing.
   */
  abandon(position: number, version: number): BatchReturn {
    const { route } = this.#record;
    if (route === undefined || version < route.version || this.item(position)?.state !== 'QUEUED') return { done: false, reason: 'state' };
    this.#finish(position, 'FAILED', undefined);
    return { done: true };
  }

  /** Fails all that is not final: the batch is past its retention time. */
  expire(): void {
    this.#record.items.forEach(({ state }, position) => {
      if (!isFinal(state)) this.#finish(position, 'FAILED', undefined);
    });
  }

  /** The request of an opaque item; undefined once the item is final. */
  task(position: number): ItemTask | undefined {
    return this.item(position)?.task;
  }

  taskOf(id: ItemId): ItemTask | undefined {
    return this.#record.items.find((item) => item.id === id)?.task;
  }

  /** Whether a read from cursor `after` has nothing to return yet, but may have later. */
  waitsAt(after: number): boolean {
    return after >= this.#record.order.length && this.#open > 0;
  }

  outcomes(after: number, maxBytes: number): BatchOutcomes {
    return outcomesFrom(this.#record, after, maxBytes);
  }

  view(): BatchView {
    return toBatchView(this.#record);
  }

  results(after: number, limit: number): ReturnType<FinalResults['page']> {
    return this.#results.page(after, limit);
  }

  #requeue(position: number, notBeforeMs: number): void {
    const item = this.item(position);
    if (item === undefined) return;
    if (this.#record.endedMs !== undefined) {
      this.#finish(position, 'ENDED', undefined);
      return;
    }
    item.state = 'QUEUED';
    item.lease = undefined;
    item.notBeforeMs = notBeforeMs;
  }

  #finish(position: number, state: 'COMPLETED' | 'FAILED' | 'ENDED', result: string | undefined): void {
    const item = this.item(position);
    if (item === undefined) return;
    item.state = state;
    delete item.task;
    this.#record.order.push(position);
    this.#waitingTokens -= item.tokens ?? 0;
    if (result !== undefined) item.result = result;
    this.#open -= 1;
  }
}

/** A copy of an item. A body that was read from a frame may be a view of the frame's whole buffer and would keep it in memory. */
function ownItem(item: Item): Item {
  return item.task === undefined ? { ...item } : { ...item, task: { ...item.task, body: new Uint8Array(item.task.body) } };
}
