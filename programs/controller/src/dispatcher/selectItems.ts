import type { QuotaName } from '@pewterlanding/model';
import type { QueuedItem } from '@pewterlanding/store';
import { QuotaOrder } from './quotaOrder.js';
import type { ShardItem } from './shardItem.js';

interface Selection {
  /** Queued items of all shards. */
  readonly items: readonly ShardItem[];
  /** Items in flight by quota. */
  readonly out: ReadonlyMap<QuotaName, number>;
  /** A quota's part of the fleet's ceiling. */
  readonly share: (quota: QuotaName) => number;
  /** The replica pool of a service; services that share replicas share the pool and its capacity. */
  readonly poolOf: (service: string) => string;
  /** How many more items of a service its replicas may get. */
  readonly roomOf: (service: string) => number;
  /** Token capacity: how many items of about this cost the quota could reserve now. */
  readonly capacity: (quota: QuotaName, tokens: number) => number;
  /** The most items that may be claimed in this tick: the concurrency limit less the items in flight. */
  readonly gap: number;
}

/** Keeps the load of a quota without a share finite. */
const minShare = 1e-9;

/**
 * The per-tick bound of "Rate-limited batch orchestration": claims min(concurrency gap, token capacity) items, in order of due time
 * and then of queueing within a quota, and weighted fair between quotas: the next item is of the quota with the least load.
 */
export function selectItems(selection: Selection): readonly ShardItem[] {
  const queues = queuesByQuota(selection.items);
  const inFlight = new Map(selection.out);
  const capacityLeft = new Map<QuotaName, number>();
  for (const [quota, queue] of queues) capacityLeft.set(quota, selection.capacity(quota, queue[0]?.tokens ?? 0));
  const hasCapacity = (quota: QuotaName): boolean => (capacityLeft.get(quota) ?? 0) > 0;
  const loadOf = (quota: QuotaName): number => (inFlight.get(quota) ?? 0) / Math.max(selection.share(quota), minShare);
  const eligible = [...queues.keys()].filter(hasCapacity);
  const order = new QuotaOrder(eligible.map((quota) => ({ quota, load: loadOf(quota) })));
  const pools = new PoolCapacity(selection);
  const positions = new Map<QuotaName, number>();
  const chosen: ShardItem[] = [];
  for (let quota = order.shift(); quota !== undefined && chosen.length < selection.gap; quota = order.shift()) {
    const position = positions.get(quota) ?? 0;
    const item = queues.get(quota)?.[position];
    if (item === undefined) continue;
    positions.set(quota, position + 1);
    // An item whose pool is full is passed over; the quota stays in the order for its next item.
    if (pools.take(item.service)) {
      capacityLeft.set(quota, (capacityLeft.get(quota) ?? 0) - 1);
      inFlight.set(quota, (inFlight.get(quota) ?? 0) + 1);
      chosen.push(item);
    }
    if (hasCapacity(quota)) order.insert({ quota, load: loadOf(quota) });
  }
  return chosen;
}

/** What is left of each pool's capacity in this tick. */
class PoolCapacity {
  readonly #selection: Selection;
  readonly #left = new Map<string, number>();

  constructor(selection: Selection) {
    this.#selection = selection;
  }

  /** Takes the capacity for one item of a service, if there is any. */
  take(service: string): boolean {
    const pool = this.#selection.poolOf(service);
    const left = this.#left.get(pool) ?? this.#selection.roomOf(service);
    if (left <= 0) return false;
    this.#left.set(pool, left - 1);
    return true;
  }
}

function queuesByQuota(items: readonly ShardItem[]): ReadonlyMap<QuotaName, ShardItem[]> {
  const queues = new Map<QuotaName, ShardItem[]>();
  for (const item of [...items].sort(compareItems)) {
    const queue = queues.get(item.quota) ?? [];
    queues.set(item.quota, queue);
    queue.push(item);
  }
  return queues;
}

function compareItems(a: QueuedItem, b: QueuedItem): number {
  return a.dueAtMs - b.dueAtMs || a.queuedAtMs - b.queuedAtMs || a.ref.position - b.ref.position;
}
