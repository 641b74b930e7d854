import type { Checker } from './checker.js';
import type { Violation } from './violation.js';
import type { HistoryEvent } from '../history/index.js';
import { eventsOfType } from '../history/index.js';
import { runsByKey } from './runsByKey.js';

const minuteMs = 60_000;
const overrun = 1.1;

interface Change {
  readonly atMs: number;
  readonly quota: string;
  readonly by: 1 | -1;
}

/** When each item began to wait and when it no longer did: from its batch's acceptance to its first run, or its batch's end. */
function changesOf(history: readonly HistoryEvent[]): readonly Change[] {
  const runs = runsByKey(history);
  const ended = new Map(eventsOfType(history, 'batchEnded').map((batch) => [batch.batch, batch.atMs]));
  return eventsOfType(history, 'batchAccepted')
    .flatMap((batch) =>
      batch.items.flatMap((item): Change[] => {
        const ranMs = runs.get(`${batch.batch}/${item}`)?.[0]?.atMs ?? Number.POSITIVE_INFINITY;
        const overMs = Math.min(ranMs, ended.get(batch.batch) ?? Number.POSITIVE_INFINITY);
        return overMs <= batch.atMs
          ? []
          : [
              { atMs: batch.atMs, quota: batch.quota, by: 1 },
              { atMs: overMs, quota: batch.quota, by: -1 },
            ];
      }),
    )
    .sort((a, b) => a.atMs - b.atMs);
}

/** The spans in which every branch had work waiting. Outside of them room is lent, and that is no overrun. */
function spansOf(
  history: readonly HistoryEvent[],
  quotas: readonly string[],
): readonly { readonly fromMs: number; readonly toMs: number }[] {
  const waiting = new Map(quotas.map((quota) => [quota, 0]));
  const spans: { fromMs: number; toMs: number }[] = [];
  let sinceMs: number | undefined;
  for (const { atMs, quota, by } of changesOf(history)) {
    if (!Number.isFinite(atMs)) break;
    if (waiting.has(quota)) waiting.set(quota, (waiting.get(quota) ?? 0) + by);
    const all = [...waiting.values()].every((items) => items > 0);
    if (all) sinceMs ??= atMs;
    else if (sinceMs !== undefined) {
      spans.push({ fromMs: sinceMs, toMs: atMs });
      sinceMs = undefined;
    }
  }
  if (sinceMs !== undefined) spans.push({ fromMs: sinceMs, toMs: history.at(-1)?.atMs ?? sinceMs });
  return spans;
}

/** By requests and by tokens, over every sliding minute in which all quotas had work waiting. Judged are the runs in them. */
export const shareChecker: Checker = (history, bounds) => {
  const violations: Violation[] = [];
  let judged = 0;
  if (bounds.shares.size === 0) return { judged, violations };
  for (const { fromMs, toMs } of spansOf(history, [...bounds.shares.keys()])) {
    if (toMs - fromMs < minuteMs) continue;
    for (const [quota, share] of bounds.shares) {
      const runs = eventsOfType(history, 'ran').filter(
        (run) => run.quota === quota && run.key.includes('/') && run.atMs >= fromMs && run.atMs <= toMs,
      );
      judged += runs.length;
      const tokensOf = (position: number): number => (runs[position]?.bytes ?? 0) / bounds.bytesPerToken;
      let tokens = 0;
      for (let first = 0, last = 0; last < runs.length; last += 1) {
        tokens += tokensOf(last);
        for (; (runs[last]?.atMs ?? 0) - (runs[first]?.atMs ?? 0) >= minuteMs; first += 1) tokens -= tokensOf(first);
        const requests = last - first + 1;
        const over =
          requests > share.requests * overrun
            ? `${requests} requests`
            : tokens > share.tokens * overrun
              ? `${Math.round(tokens)} tokens`
              : undefined;
        if (over === undefined) continue;
        violations.push({
          atMs: runs[last]?.atMs ?? 0,
          what: `${quota}: ${over} in a minute, its share is ${share.requests} and ${share.tokens}`,
        });
        break;
      }
    }
  }
  return { judged, violations };
};
