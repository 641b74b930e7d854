import type { BatchId } from '@pewterlanding/model';
import type { Batch, Item, ItemRef, OpenLease } from '../batch/index.js';
import { QueuedItems } from '../queue/index.js';
import type { QueuedItem } from '../queue/index.js';

interface QueueHead {
  readonly items: QueuedItem[];
  /** Queue lengths by quota. */
  readonly waiting: Record<string, number>;
}

/** Finds a shard's queued and leased items without a scan of all batches. Derived from the batches, so it is not part of a snapshot. */
export class ItemIndex {
  readonly #batches: ReadonlyMap<BatchId, Batch>;
  readonly #nowMs: () => number;
  readonly #queues = new QueuedItems();
  readonly #leased = new Map<string, ItemRef>();
  /** Until when requeued items are not offered again, by this member's monotonic clock; not replicated, and lost with the process. */
  readonly #backoffUntilMs = new Map<string, number>();

  constructor(batches: ReadonlyMap<BatchId, Batch>, nowMs: () => number) {
    this.#batches = batches;
    this.#nowMs = nowMs;
  }

  /** The first `limit` items of each quota's queue that may be dispatched now, by the wall clock and the backoff. */
  queued(limit: number, wallMs: number): QueueHead {
    const items: QueuedItem[] = [];
    const waiting: Record<string, number> = {};
    for (const [quota, queue] of this.#queues.byQuota()) {
      waiting[quota] = queue.length;
      let found = 0;
      for (const entry of queue) {
        if (found >= limit) break;
        const item = this.#dispatchable(entry, wallMs);
        if (item === undefined) continue;
        found += 1;
        items.push(item);
      }
    }
    return { items, waiting };
  }

  openLeases(): OpenLease[] {
    const leases: OpenLease[] = [];
    for (const ref of this.#leased.values()) {
      const batch = this.#batches.get(ref.batch);
      const item = batch?.item(ref.position);
      if (batch === undefined || item?.lease === undefined) continue;
      const { quota, service, route } = batch.record;
      const started = item.state === 'IN_PROGRESS';
      leases.push({ ref, lease: item.lease, started, quota, service, tokens: batch.estimate(ref.position), route: route?.name });
    }
    return leases;
  }

  /** Doesn't offer a queued item for `waitMs` from now on. */
  backOff(batch: Batch, position: number, waitMs: number): void {
    this.#backoffUntilMs.set(keyOf(batch, position), this.#nowMs() + waitMs);
  }

  /** Files an item anew after its state may have changed. */
  update(batch: Batch, position: number): void {
    const item = batch.item(position);
    if (item === undefined) return;
    const { id, quota } = batch.record;
    const key = keyOf(batch, position);
    const entry = { batch: id, position, queuedAtMs: item.queuedAtMs, dueAtMs: batch.dueAtMs(position) };
    if (item.state === 'QUEUED') this.#queues.add(quota, entry);
    else {
      this.#queues.remove(quota, entry);
      this.#backoffUntilMs.delete(key);
    }
    if (item.state === 'DISPATCHED' || item.state === 'IN_PROGRESS') this.#leased.set(key, { batch: id, position });
    else this.#leased.delete(key);
  }

  updateAll(batch: Batch): void {
    batch.record.items.forEach((_, position) => this.update(batch, position));
  }

  clear(): void {
    this.#queues.clear();
    this.#leased.clear();
    this.#backoffUntilMs.clear();
  }

  #dispatchable({ batch: id, position }: ItemRef, wallMs: number): QueuedItem | undefined {
    const batch = this.#batches.get(id);
    const item = batch?.item(position);
    if (batch === undefined || item === undefined || item.notBeforeMs > wallMs) return undefined;
    const backoffUntilMs = this.#backoffUntilMs.get(keyOf(batch, position)) ?? 0;
    return backoffUntilMs > this.#nowMs() ? undefined : toQueuedItem(batch, item, position);
  }
}

function toQueuedItem(batch: Batch, item: Item, position: number): QueuedItem {
  const { id, quota, service, route } = batch.record;
  return {
    ref: { batch: id, position },
    quota,
    service,
    tokens: batch.estimate(position),
    queuedAtMs: item.queuedAtMs,
    dueAtMs: batch.dueAtMs(position),
    route: route === undefined ? undefined : { item: item.id, name: route.name, host: route.host, version: route.version },
    attempts: item.attempts,
  };
}

function keyOf({ record }: Batch, position: number): string {
  return `${record.id} ${position}`;
}
