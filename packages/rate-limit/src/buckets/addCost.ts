import type { Cost } from './cost.js';

/** The sum of two costs, in requests and in tokens. */
export function addCost(a: Cost, b: Cost): Cost {
  return { requests: a.requests + b.requests, tokens: a.tokens + b.tokens };
}
