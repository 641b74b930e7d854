import type { BatchRecord } from './batchRecord.js';
import type { BatchView } from './batchView.js';

/** What callers see of a batch: its header and how many items are in each state. */
export function toBatchView({ id, quota, service, bodyHash, createdMs, endedMs, items }: BatchRecord): BatchView {
  const counts: Record<string, number> = {};
  for (const { state } of items) {
    // DISPATCHED is internal; callers see it as QUEUED.
    const shown = state === 'DISPATCHED' ? 'QUEUED' : state;
    counts[shown] = (counts[shown] ?? 0) + 1;
  }
  return { id, quota, service, bodyHash, createdMs, ended: endedMs !== undefined, items: items.length, counts };
}
