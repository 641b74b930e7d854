import type { Cost } from './cost.js';
import type { LocalAllowance } from './localAllowance.js';
import type { Taken } from './taken.js';

/**
 * The atomic two-bucket step of "Rate-limited batch orchestration": refill, check requests and tokens, then take both or neither.
 * Waiting work is bounded by two allowances at once, so the step spans all that it is given. Synchronous, so nothing comes between
 * check and take; a refusal takes nothing and says for how long, in ms.
 */
export function takeBoth(allowances: readonly LocalAllowance[], cost: Cost, nowMs: number): Taken {
  for (const allowance of allowances) allowance.refill(nowMs);
  const retryAfterMs = Math.max(0, ...allowances.map((allowance) => allowance.retryAfterMs(cost)));
  if (retryAfterMs > 0) return { ok: false, retryAfterMs };
  for (const allowance of allowances) allowance.take(cost);
  return { ok: true };
}
