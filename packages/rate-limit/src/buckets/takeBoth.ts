import type { Cost } from './cost.js';
import type { LocalAllowance } from './localAllowance.js';
import type { Taken } from './taken.js';

/**
 * The source's one step: refill, check both costs, then take both or neither.
 * A task of waiting work is held by two purses at once, so the step spans all it is given.
 */
export function takeBoth(purses: readonly LocalAllowance[], cost: Cost, nowMs: number): Taken {
  for (const allowance of purses) allowance.refill(nowMs);
  const retryAfterMs = Math.max(0, ...purses.map((allowance) => allowance.retryAfterMs(cost)));
  if (retryAfterMs > 0) return { ok: false, retryAfterMs };
  for (const allowance of purses) allowance.take(cost);
  return { ok: true };
}
