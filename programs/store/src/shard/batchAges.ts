import type { BatchId } from '@pewterlanding/model';
import type { Batch } from '../batch/index.js';

interface AgedBatches {
  /** Unfinished and past their retention time: their open items are to fail. */
  readonly expired: BatchId[];
  /** Finished and kept for as long as promised: they are to be deleted. */
  readonly droppable: BatchId[];
}

/**
 * Since when this member knows each batch that has a route, by its own monotonic clock: a wall clock that is wrong can't make a
 * batch older than it is. Not replicated: after a restart a batch counts as new.
 */
export class BatchAges {
  readonly #sinceMs = new Map<BatchId, number>();
  readonly #nowMs: () => number;

  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  add({ record }: Batch): void {
    if (record.route !== undefined) this.#sinceMs.set(record.id, this.#nowMs());
  }

  delete(id: BatchId): void {
    this.#sinceMs.delete(id);
  }

  clear(): void {
    this.#sinceMs.clear();
  }

  aged(batches: ReadonlyMap<BatchId, Batch>): AgedBatches {
    const now = this.#nowMs();
    const expired: BatchId[] = [];
    const droppable: BatchId[] = [];
    for (const [id, sinceMs] of this.#sinceMs) {
      const batch = batches.get(id);
      const route = batch?.record.route;
      if (batch === undefined || route === undefined) continue;
      const ageMs = now - sinceMs;
      if (batch.done) {
        if (ageMs > route.keepMs) droppable.push(id);
      } else if (route.retainMs !== undefined && ageMs > route.retainMs) expired.push(id);
    }
    return { expired, droppable };
  }
}
