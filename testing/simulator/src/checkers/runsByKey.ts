import type { HistoryEvent } from '../history/index.js';
import { eventsOfType } from '../history/index.js';

type Ran = Extract<HistoryEvent, { type: 'ran' }>;

/** The runs of each task or item, in order. Items' runs carry the key `lot/item`. */
export function runsByKey(history: readonly HistoryEvent[]): ReadonlyMap<string, readonly Ran[]> {
  const runs = new Map<string, Ran[]>();
  for (const run of eventsOfType(history, 'ran')) {
    const known = runs.get(run.key);
    if (known === undefined) runs.set(run.key, [run]);
    else known.push(run);
  }
  return runs;
}
