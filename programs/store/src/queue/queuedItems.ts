import type { QuotaName, BatchId } from '@pewterlanding/model';

interface Waiting {
  readonly batch: BatchId;
  readonly position: number;
  readonly queuedAtMs: number;
  readonly dueAtMs: number;
}

/**
 * The queued items of a shard, a line for each branch, in order of due time, then queued_at.
 * The source orders by queued_at alone. Between branches it is the shares that decide, so a due time can put nobody else's work back;
 * within one, what is due first goes first, or the tail of an early lot would make every later one late.
 */
export class QueuedItems {
  readonly #lines = new Map<QuotaName, Waiting[]>();

  put(quota: QuotaName, waiting: Waiting): void {
    const line = this.#lines.get(quota) ?? [];
    this.#lines.set(quota, line);
    const at = find(line, waiting);
    if (line[at] === undefined || compare(line[at], waiting) !== 0) line.splice(at, 0, waiting);
  }

  take(quota: QuotaName, waiting: Waiting): void {
    const line = this.#lines.get(quota);
    if (line === undefined) return;
    const at = find(line, waiting);
    const found = line[at];
    if (found !== undefined && compare(found, waiting) === 0) line.splice(at, 1);
    if (line.length === 0) this.#lines.delete(quota);
  }

  lines(): ReadonlyMap<QuotaName, readonly Waiting[]> {
    return this.#lines;
  }

  clear(): void {
    this.#lines.clear();
  }
}

function compare(a: Waiting, b: Waiting): number {
  if (a.dueAtMs !== b.dueAtMs) return a.dueAtMs - b.dueAtMs;
  if (a.queuedAtMs !== b.queuedAtMs) return a.queuedAtMs - b.queuedAtMs;
  if (a.batch !== b.batch) return a.batch < b.batch ? -1 : 1;
  return a.position - b.position;
}

/** The first place whose item does not come before the given one. */
function find(line: readonly Waiting[], waiting: Waiting): number {
  let low = 0;
  let high = line.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const at = line[middle];
    if (at !== undefined && compare(at, waiting) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}
