import type { BatchOutcomes } from './batchOutcomes.js';
import type { BatchRecord } from './batchRecord.js';
import type { Item } from './item.js';
import type { ItemOutcome } from './itemOutcome.js';

/** Outcomes of opaque items from cursor `after` on, in order of finishing: up to `maxBytes` of JSON, but at least one if there is one. */
export function outcomesFrom(record: BatchRecord & { readonly order: readonly number[] }, after: number, maxBytes: number): BatchOutcomes {
  const { order, items, endedMs } = record;
  const outcomes: ItemOutcome[] = [];
  let bytes = 0;
  for (const position of order.slice(after)) {
    const item = items[position];
    if (item === undefined) break;
    const outcome = outcomeOf(item);
    bytes += Buffer.byteLength(JSON.stringify(outcome)) + 1;
    if (bytes > maxBytes && outcomes.length > 0) break;
    outcomes.push(outcome);
  }
  return { total: items.length, ended: endedMs !== undefined, outcomes, next: after + outcomes.length };
}

function outcomeOf({ id, state, result }: Item): ItemOutcome {
  return state === 'COMPLETED' ? { id, state: 'settled', text: result ?? '' } : { id, state: 'abandoned', text: '' };
}
