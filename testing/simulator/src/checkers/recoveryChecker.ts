import type { Checker } from './checker.js';
import { eventsOfType } from '../history/index.js';

/** So many of a kind must be expected in the window before its rate says anything. */
const minExpected = 4;

/** Judges each kind of work by itself: streams that are back must not hide batches that are not. */
export const recoveryChecker: Checker = (history, bounds) => {
  const repaired = eventsOfType(history, 'repaired').at(-1);
  const fault = eventsOfType(history, 'faulted')[0];
  if (repaired === undefined || fault === undefined) return { judged: 0, violations: [] };
  const kinds = new Map(eventsOfType(history, 'sent').map((sent) => [sent.key, sent.kind ?? 'whole']));
  const done = new Map<string, number[]>();
  const add = (kind: string, atMs: number): void => void done.set(kind, [...(done.get(kind) ?? []), atMs]);
  for (const told of eventsOfType(history, 'told')) if (told.outcome === 'returned') add(kinds.get(told.key) ?? 'whole', told.atMs);
  const seen = new Set<string>();
  for (const run of eventsOfType(history, 'ran')) {
    // An item's run is the earliest sign from outside that batches move; each item counts once.
    if (kinds.get(run.key) !== 'batch' || seen.has(run.key)) continue;
    seen.add(run.key);
    add('batch', run.atMs);
  }
  const endMs = history.at(-1)?.atMs ?? 0;
  const fromMs = repaired.atMs + bounds.recoveryMs;
  let judged = 0;
  const violations = [...done].flatMap(([kind, times]) => {
    const startMs = Math.min(...times);
    const rate = (beginMs: number, overMs: number): number =>
      times.filter((atMs) => atMs >= beginMs && atMs < overMs).length / Math.max(1, overMs - beginMs);
    const normal = rate(startMs, fault.atMs);
    // Batches come in bursts, so what follows the bound is taken as a whole.
    const windowMs = kind === 'batch' ? endMs - fromMs : Math.min(bounds.aboutTwoMs, endMs - fromMs);
    if (windowMs <= 0 || normal * windowMs < minExpected) return [];
    judged += 1;
    const now = rate(fromMs, fromMs + windowMs);
    return now >= normal / 4
      ? []
      : [{ atMs: fromMs, what: `${kind}: ${(now / normal).toFixed(2)} of normal ${bounds.recoveryMs} ms after repair` }];
  });
  return { judged, violations };
};
