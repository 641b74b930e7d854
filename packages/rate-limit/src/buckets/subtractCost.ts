import type { Cost } from './cost.js';

export function subtractCost(a: Cost, b: Cost): Cost {
  return { requests: a.requests - b.requests, tokens: a.tokens - b.tokens };
}
