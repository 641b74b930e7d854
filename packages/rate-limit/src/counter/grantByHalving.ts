import { shareOf, takeBoth } from '../buckets/index.js';
import type { Cost, LocalAllowance } from '../buckets/index.js';

interface Grant {
  readonly granted: Cost;
  /** ms; 0 if something was granted. */
  readonly retryAfterMs: number;
}

/** Takes as much of `desired` as an allowance has, trying half as much each time, but `minimum` at least or else nothing. */
export function grantByHalving(allowance: LocalAllowance, desired: Cost, minimum: Cost, nowMs: number): Grant {
  for (let cost = desired; cost.requests >= minimum.requests && cost.tokens >= minimum.tokens; cost = shareOf(cost, 0.5)) {
    if (cost.requests === 0 && cost.tokens === 0) break;
    if (takeBoth([allowance], cost, nowMs).ok) return { granted: cost, retryAfterMs: 0 };
  }
  const taken = takeBoth([allowance], minimum, nowMs);
  if (taken.ok) return { granted: minimum, retryAfterMs: 0 };
  return { granted: { requests: 0, tokens: 0 }, retryAfterMs: taken.retryAfterMs };
}
