import type { Cost } from './cost.js';

/** The first cost less the second, in requests and in tokens; may be negative. */
export function subtractCost(a: Cost, b: Cost): Cost {
  return { requests: a.requests - b.requests, tokens: a.tokens - b.tokens };
}
