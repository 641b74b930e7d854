import type { Checker } from './checker.js';
import type { HistoryEvent } from '../history/index.js';
import { eventsOfType } from '../history/index.js';
import { runsByKey } from './runsByKey.js';

/** When each batch was ended, by its name. */
function endTimes(history: readonly HistoryEvent[]): ReadonlyMap<string, number> {
  return new Map(eventsOfType(history, 'batchEnded').map((batch) => [batch.batch, batch.atMs]));
}

/** When each item was first handed in, by its key. */
function handInTimes(history: readonly HistoryEvent[]): ReadonlyMap<string, number> {
  const times = new Map<string, number>();
  for (const sent of eventsOfType(history, 'sent')) if (!times.has(sent.key)) times.set(sent.key, sent.atMs);
  return times;
}

/** An accepted item starts within a bound of its being handed in, or its batch is ended first. Judged where a day states a bound. */
export const itemStartChecker: Checker = (history, { itemStartMs }) => {
  if (itemStartMs === undefined) return { judged: 0, violations: [] };
  const runs = runsByKey(history);
  const ends = endTimes(history);
  const handIns = handInTimes(history);
  const lastMs = history.at(-1)?.atMs ?? 0;
  const accepted = eventsOfType(history, 'batchAccepted').flatMap((batch) =>
    batch.items.map((item) => ({ batch, key: `${batch.batch}/${item}` })),
  );
  const violations = accepted.flatMap(({ batch: batch, key }) => {
    const handedInMs = handIns.get(key) ?? batch.atMs;
    const startedMs = Math.min(runs.get(key)?.[0]?.atMs ?? lastMs, ends.get(batch.batch) ?? lastMs);
    const waitMs = startedMs - handedInMs;
    return waitMs > itemStartMs ? [{ atMs: startedMs, what: `${key} waited ${Math.round(waitMs)} ms for its start` }] : [];
  });
  return { judged: accepted.length, violations };
};
