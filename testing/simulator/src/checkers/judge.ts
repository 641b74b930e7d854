import type { CheckerBounds } from './checkerBounds.js';
import { checkers } from './checkers.js';
import type { HistoryEvent } from '../history/index.js';
import type { Verdict } from './verdict.js';

/** Every rule's verdict on a history, put in the order of time. */
export function judge(history: readonly HistoryEvent[], bounds: CheckerBounds): readonly Verdict[] {
  const inOrder = [...history].sort((a, b) => a.atMs - b.atMs);
  return Object.entries(checkers).map(([rule, check]) => ({ rule, ...check(inOrder, bounds) }));
}
