import type { Cost } from './cost.js';

/** A ratio of a cost, rounded down to whole units. */
export function shareOf(cost: Cost, ratio: number): Cost {
  return { requests: Math.floor(cost.requests * ratio), tokens: Math.floor(cost.tokens * ratio) };
}
