import type { Item } from './item.js';
import type { BatchRecord } from './batchRecord.js';

/** Work without a due time is due a day after it was queued: later than any that has one, but never put off for ever. */
const noDueMs = 86_400_000;

/** When an item's result is due, by the wall clock. */
export function dueTimeOf({ route }: Pick<BatchRecord, 'route'>, item: Pick<Item, 'queuedAtMs'>): number {
  return route?.dueMs === undefined ? item.queuedAtMs + noDueMs : route.sentMs + route.dueMs;
}
