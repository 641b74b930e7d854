import type { Item } from './item.js';
import type { BatchRecord } from './batchRecord.js';

/** Work without a due time is due a day after it was queued: behind work that has one, but not starved by it. */
const defaultDueMs = 86_400_000;

/** When an item's result is due, by the wall clock, ms. */
export function dueTimeOf({ route }: Pick<BatchRecord, 'route'>, item: Pick<Item, 'queuedAtMs'>): number {
  return route?.dueMs === undefined ? item.queuedAtMs + defaultDueMs : route.sentMs + route.dueMs;
}
