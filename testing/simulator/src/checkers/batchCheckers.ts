import type { Checker } from './checker.js';
import type { Violation } from './violation.js';
import { eventsOfType } from '../history/index.js';
import { runsByKey } from './runsByKey.js';
import { unreadableSpans } from './unreadableSpans.js';

/** What is promised about batches. */
export const batchCheckers: Readonly<Record<string, Checker>> = {
  'an accepted lot is lost, doubled or changed': (history, bounds) => {
    const violations: Violation[] = [];
    const accepted = new Map(eventsOfType(history, 'batchAccepted').map((batch) => [batch.batch, batch]));
    const results = new Map<string, string>();
    const shown = new Map<string, { readonly atMs: number; readonly count: number }>();
    let judged = 0;
    for (const read of eventsOfType(history, 'batchRead')) {
      const batch = accepted.get(read.batch);
      if (batch === undefined) continue;
      judged += 1;
      const due = read.askedMs > batch.atMs + bounds.batchReadableMs;
      if (read.found === 'no' && due) violations.push({ atMs: read.atMs, what: `${read.batch} cannot be found` });
      const ids = read.results.map((result) => result.id);
      if (new Set(ids).size !== ids.length) violations.push({ atMs: read.atMs, what: `${read.batch} shows an item twice` });
      // Results come in the order of the items, from the first on.
      if (ids.some((id, position) => id !== batch.items[position]))
        violations.push({ atMs: read.atMs, what: `${read.batch} shows items out of order` });
      for (const { id, result } of read.results) {
        const key = `${read.batch}/${id}`;
        const before = results.get(key);
        if (before !== undefined && before !== result)
          violations.push({ atMs: read.atMs, what: `${key} changed from ${before} to ${result}` });
        results.set(key, result);
      }
      // What was read stays read: a later read shows no fewer results.
      const before = shown.get(read.batch);
      if (read.found !== 'yes') continue;
      if (before !== undefined && read.askedMs > before.atMs && read.results.length < before.count) {
        violations.push({ atMs: read.atMs, what: `${read.batch} showed ${before.count} results and later ${read.results.length}` });
      }
      if (read.results.length >= (before?.count ?? 0)) shown.set(read.batch, { atMs: read.atMs, count: read.results.length });
    }
    for (const { batch, atMs, waitedMs } of unreadableSpans(history, bounds.batchReadableMs)) {
      if (waitedMs > bounds.takeoverMs) violations.push({ atMs, what: `${batch} could not be read for ${Math.round(waitedMs)} ms` });
    }
    return { judged, violations };
  },

  'an item of an ended lot starts': (history, bounds) => {
    const ended = new Map(eventsOfType(history, 'batchEnded').map((batch) => [batch.batch, batch.atMs]));
    const runs = runsByKey(history);
    const violations = eventsOfType(history, 'ran').flatMap((run) => {
      const endMs = ended.get(run.key.split('/')[0] ?? '');
      const lateMs = (run.sentMs ?? run.atMs) - (endMs ?? Number.POSITIVE_INFINITY);
      return lateMs > bounds.batchEndedMs ? [{ atMs: run.atMs, what: `${run.key} started ${Math.round(lateMs)} ms after the end` }] : [];
    });
    // Only a batch that still had items to start could have gone wrong.
    const items = eventsOfType(history, 'batchAccepted').flatMap((batch) => {
      const endMs = ended.get(batch.batch);
      return endMs === undefined
        ? []
        : batch.items.filter((item) => (runs.get(`${batch.batch}/${item}`)?.[0]?.atMs ?? Number.POSITIVE_INFINITY) > endMs);
    });
    return { judged: items.length, violations };
  },
};
