import type { CheckerBounds } from './checkerBounds.js';
import type { HistoryEvent } from '../history/index.js';
import type { Verdict } from './verdict.js';

/** Judges a history, which is in the order of time, by one rule. */
export type Checker = (history: readonly HistoryEvent[], bounds: CheckerBounds) => Omit<Verdict, 'rule'>;
