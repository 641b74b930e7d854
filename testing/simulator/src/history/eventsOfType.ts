import type { HistoryEvent } from './historyEvent.js';

/** The events of one kind, in order. */
export function eventsOfType<T extends HistoryEvent['type']>(history: readonly HistoryEvent[], t: T): Extract<HistoryEvent, { type: T }>[] {
  const found: Extract<HistoryEvent, { type: T }>[] = [];
  for (const one of history) if (is(one, t)) found.push(one);
  return found;
}

function is<T extends HistoryEvent['type']>(one: HistoryEvent, t: T): one is Extract<HistoryEvent, { type: T }> {
  return one.type === t;
}
