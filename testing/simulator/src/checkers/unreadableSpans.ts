import type { HistoryEvent } from '../history/index.js';
import { eventsOfType } from '../history/index.js';

type Read = Extract<HistoryEvent, { type: 'batchRead' }>;

interface Span {
  readonly batch: string;
  /** When somebody asked, and how long it was until anybody who asked for this batch could read it. */
  readonly atMs: number;
  readonly waitedMs: number;
}

/** For each accepted batch the longest that its leaders asked in vain, from `readableMs` after its acceptance on. */
export function unreadableSpans(history: readonly HistoryEvent[], readableMs: number): readonly Span[] {
  const endMs = history.at(-1)?.atMs ?? 0;
  const reads = new Map<string, Read[]>();
  for (const read of eventsOfType(history, 'batchRead')) reads.set(read.batch, [...(reads.get(read.batch) ?? []), read]);
  return eventsOfType(history, 'batchAccepted').flatMap((accepted) => {
    const own = reads.get(accepted.batch) ?? [];
    const good = own.filter((read) => read.found === 'yes').map((read) => read.atMs);
    let worst: Span | undefined;
    for (const read of own) {
      const fromMs = Math.max(read.askedMs, accepted.atMs + readableMs);
      // Reads that fail after the last good one count up to the last that was tried.
      const untilMs = good.find((atMs) => atMs >= fromMs) ?? Math.min(endMs, own.at(-1)?.atMs ?? endMs);
      const waitedMs = untilMs - fromMs;
      if (waitedMs > (worst?.waitedMs ?? 0)) worst = { batch: accepted.batch, atMs: fromMs, waitedMs };
    }
    return worst === undefined ? [] : [worst];
  });
}
