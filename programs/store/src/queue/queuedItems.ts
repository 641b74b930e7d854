import type { QuotaName, BatchId } from '@pewterlanding/model';

/** An item's entry in its quota's queue; times by the wall clock, ms. */
interface QueueEntry {
  readonly batch: BatchId;
  readonly position: number;
  readonly queuedAtMs: number;
  readonly dueAtMs: number;
}

/**
 * The queued items of a shard: one queue for each quota, ordered by due time, then by queued_at.
 * "Rate-limited batch orchestration" orders by queued_at alone. Between quotas the shares decide, so a due time can't delay the work
 * of another quota; within one, the earliest due time goes first, or the tail of an early batch would make every later one late.
 */
export class QueuedItems {
  readonly #queues = new Map<QuotaName, QueueEntry[]>();

  /** Adds an entry; one that is queued already stays as it is. */
  add(quota: QuotaName, entry: QueueEntry): void {
    const queue = this.#queues.get(quota) ?? [];
    this.#queues.set(quota, queue);
    const index = insertionIndex(queue, entry);
    if (queue[index] === undefined || compare(queue[index], entry) !== 0) queue.splice(index, 0, entry);
  }

  remove(quota: QuotaName, entry: QueueEntry): void {
    const queue = this.#queues.get(quota);
    if (queue === undefined) return;
    const index = insertionIndex(queue, entry);
    const found = queue[index];
    if (found !== undefined && compare(found, entry) === 0) queue.splice(index, 1);
    if (queue.length === 0) this.#queues.delete(quota);
  }

  byQuota(): ReadonlyMap<QuotaName, readonly QueueEntry[]> {
    return this.#queues;
  }

  clear(): void {
    this.#queues.clear();
  }
}

function compare(a: QueueEntry, b: QueueEntry): number {
  if (a.dueAtMs !== b.dueAtMs) return a.dueAtMs - b.dueAtMs;
  if (a.queuedAtMs !== b.queuedAtMs) return a.queuedAtMs - b.queuedAtMs;
  if (a.batch !== b.batch) return a.batch < b.batch ? -1 : 1;
  return a.position - b.position;
}

/** Binary search: the first index whose entry does not sort before the given one. */
function insertionIndex(queue: readonly QueueEntry[], entry: QueueEntry): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const candidate = queue[middle];
    if (candidate !== undefined && compare(candidate, entry) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}
