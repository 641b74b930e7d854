import type { ItemId } from '@pewterlanding/model';
import { dueTimeOf } from './dueTimeOf.js';
import type { Item } from './item.js';
import type { ItemOutcome } from './itemOutcome.js';
import type { ItemState } from './itemState.js';
import type { Lease } from '../leases/lease.js';
import type { ItemTask } from './itemTask.js';
import type { BatchOutcomes } from './batchOutcomes.js';
import type { BatchRecord } from './batchRecord.js';
import type { BatchReturn } from './batchReturn.js';
import type { BatchView } from './batchView.js';
import type { ResultView } from './resultView.js';
import { sameLease } from '../leases/sameLease.js';

interface Released {
  readonly lease: Lease;
  readonly notBeforeMs: number;
  readonly tried: boolean;
  readonly maxAttempts: number;
  readonly failed?: boolean | undefined;
}

/** A standing lot and its rules: which item may go to which state, and that a final word is never changed. */
export class Batch {
  readonly #record: BatchRecord & { readonly order: number[] };
  #open = 0;
  #waitingTokens = 0;
  /** All items before it are final, so that reading on from a cursor is cheap. */
  #finalUpTo = 0;

  constructor(record: BatchRecord) {
    this.#record = { ...record, order: [...(record.order ?? [])], items: record.items.map(ownItem) };
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

  /** Stated tokens of its items that are not final. */
  get waitingTokens(): number {
    return this.#waitingTokens;
  }

  item(position: number): Item | undefined {
    return this.#record.items[position];
  }

  estimate(position: number): number {
    const item = this.#record.items[position];
    return item === undefined ? 0 : (item.tokens ?? Math.ceil(item.input.length / this.#record.bytesPerToken + this.#record.outputTokens));
  }

  dueAtMs(position: number): number {
    const item = this.item(position);
    return item === undefined ? 0 : dueTimeOf(this.#record, item);
  }

  claim(position: number, lease: Lease): boolean {
    const item = this.item(position);
    if (item === undefined || item.state !== 'QUEUED') return sameLease(item?.lease, lease);
    item.state = 'DISPATCHED';
    item.lease = lease;
    return true;
  }

  start(position: number, lease: Lease): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    // An ended lot starts nothing more, whoever holds a lease. An opaque item asks again before it goes on elsewhere, and is refused too.
    if (this.#record.endedMs !== undefined && (this.#record.route !== undefined || item.state !== 'IN_PROGRESS'))
      return { done: false, reason: 'ended' };
    if (!sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (item.state === 'DISPATCHED') item.state = 'IN_PROGRESS';
    return item.state === 'IN_PROGRESS' ? { done: true } : { done: false, reason: 'state' };
  }

  release(position: number, { lease, notBeforeMs, tried, maxAttempts, failed }: Released): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    // Given back after its start too: the front that holds the lease says that nothing was sent, and nothing will be.
    if (!sameLease(item.lease, lease) || isFinal(item.state)) return { done: false, reason: 'lease' };
    if (tried) item.attempts += 1;
    if (failed === true) item.failures = (item.failures ?? 0) + 1;
    const { route } = this.#record;
    // An opaque item is given up for what its route names, and the budget is not among it.
    if (route !== undefined && (item.failures ?? 0) >= route.attempts) this.#finish(position, 'FAILED', undefined);
    else if (route === undefined && item.attempts > maxAttempts)
      this.#finish(position, 'FAILED', JSON.stringify({ error: 'the budget refused it too often' }));
    else this.#requeue(position, notBeforeMs);
    return { done: true };
  }

  /** The one write of a result. The same lease closing again finds it done; any other is too late. */
  close(position: number, lease: Lease, state: 'COMPLETED' | 'FAILED', result: string): BatchReturn {
    const item = this.item(position);
    if (item === undefined) return { done: false, reason: 'unknown' };
    if (!sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (isFinal(item.state)) return { done: true };
    if (item.state !== 'IN_PROGRESS') return { done: false, reason: 'state' };
    this.#finish(position, state, result);
    return { done: true };
  }

  /** Nobody knows whether a started item ran: it runs again only if it may. */
  lost(position: number, lease: Lease): BatchReturn {
    const item = this.item(position);
    if (item === undefined || !sameLease(item.lease, lease)) return { done: false, reason: 'lease' };
    if (item.state === 'DISPATCHED') this.#requeue(position, 0);
    else if (item.state !== 'IN_PROGRESS') return { done: false, reason: 'state' };
    else if (this.#record.idempotent && this.#record.endedMs === undefined) this.#requeue(position, 0);
    else this.#finish(position, 'FAILED', JSON.stringify({ error: 'outcome unknown: the front that ran it was lost' }));
    return { done: true };
  }

  end(atMs: number): void {
    if (this.#record.endedMs !== undefined) return;
    this.#record.endedMs = atMs;
    // What runs of an opaque lot may not go on elsewhere, so it is given up now; its front learns of it when it closes.
    const all = this.#record.route !== undefined;
    this.#record.items.forEach(({ state }, position) => {
      if (state === 'QUEUED' || state === 'DISPATCHED' || (all && state === 'IN_PROGRESS')) this.#finish(position, 'ENDED', undefined);
    });
  }

  /** Its route is gone, in a setup at least as new as the one by which it was taken. */
  abandon(position: number, version: number): BatchReturn {
    const { route } = this.#record;
    if (route === undefined || version < route.version || this.item(position)?.state !== 'QUEUED') return { done: false, reason: 'state' };
    this.#finish(position, 'FAILED', undefined);
    return { done: true };
  }

  /** Nothing of it is owed any more. */
  expire(): void {
    this.#record.items.forEach(({ state }, position) => {
      if (!isFinal(state)) this.#finish(position, 'FAILED', undefined);
    });
  }

  /** Of an item that is not final. */
  task(position: number): ItemTask | undefined {
    return this.item(position)?.task;
  }

  taskOf(id: ItemId): ItemTask | undefined {
    return this.#record.items.find((item) => item.id === id)?.task;
  }

  /** Whether a read from this position has nothing yet that may still come. */
  waitsAt(after: number): boolean {
    return after >= this.#record.order.length && this.#open > 0;
  }

  /** Outcomes from a position on, as many as the bytes allow, but one if there is one. */
  outcomes(after: number, maxBytes: number): BatchOutcomes {
    const { order, items, endedMs } = this.#record;
    const outcomes: ItemOutcome[] = [];
    let bytes = 0;
    for (let at = after; at < order.length; at += 1) {
      const item = items[order[at] ?? -1];
      if (item === undefined) break;
      const outcome: ItemOutcome =
        item.state === 'COMPLETED'
          ? { id: item.id, state: 'settled', text: item.result ?? '' }
          : { id: item.id, state: 'abandoned', text: '' };
      bytes += Buffer.byteLength(JSON.stringify(outcome)) + 1;
      if (bytes > maxBytes && outcomes.length > 0) break;
      outcomes.push(outcome);
    }
    return { total: items.length, ended: endedMs !== undefined, outcomes, next: after + outcomes.length };
  }

  view(): BatchView {
    const { id, quota, service, bodyHash, createdMs, endedMs, items } = this.#record;
    const counts: Record<string, number> = {};
    // DISPATCHED is ours; callers see it as QUEUED.
    for (const { state } of items) {
      const shown = state === 'DISPATCHED' ? 'QUEUED' : state;
      counts[shown] = (counts[shown] ?? 0) + 1;
    }
    return { id, quota, service, bodyHash, createdMs, ended: endedMs !== undefined, items: items.length, counts };
  }

  /** Final items in order from the cursor, up to the first that is not final. */
  results(after: number, limit: number): { readonly results: ResultView[]; readonly next: number; readonly done: boolean } {
    const { items } = this.#record;
    while (this.#finalUpTo < items.length && isFinal(items[this.#finalUpTo]?.state ?? 'QUEUED')) this.#finalUpTo += 1;
    const next = Math.max(after, Math.min(this.#finalUpTo, after + limit));
    const results = items.slice(after, next).flatMap((item, step) => {
      const { id, state, result } = item;
      return state === 'COMPLETED' || state === 'FAILED' || state === 'ENDED' ? [{ id, position: after + step, state, result }] : [];
    });
    return { results, next, done: next >= items.length };
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

/** An item of its own. What was read from a frame may be a view on all of it, and would keep it. */
function ownItem(item: Item): Item {
  return item.task === undefined ? { ...item } : { ...item, task: { ...item.task, body: new Uint8Array(item.task.body) } };
}

function isFinal(state: ItemState): boolean {
  return state === 'COMPLETED' || state === 'FAILED' || state === 'ENDED';
}
