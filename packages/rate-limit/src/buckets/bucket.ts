/** Rates are per minute. */
const windowMs = 60_000;

/**
 * One token bucket of "Rate-limited batch orchestration": capacity `limit`, refill `rate` a minute, times in ms.
 * Its balance may be negative after a settlement, never above the limit. Fractions of a unit are not lost between refills, and a
 * change of bounds pays out the time before it at the old rate.
 */
export class Bucket {
  #limit: number;
  #rate: number;
  #tokens: number;
  #lastRefillMs: number;

  constructor(limit: number, rate: number, tokens: number, nowMs: number) {
    this.#limit = limit;
    this.#rate = rate;
    this.#tokens = Math.min(limit, tokens);
    this.#lastRefillMs = nowMs;
  }

  get tokens(): number {
    return this.#tokens;
  }

  get limit(): number {
    return this.#limit;
  }

  /** Adds the whole units that are due since the last refill. */
  refill(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastRefillMs;
    const refill = Math.floor((elapsedMs * this.#rate) / windowMs);
    if (refill <= 0) return;
    this.#tokens = Math.min(this.#limit, this.#tokens + refill);
    // Advances only by the time of the whole units: to drop the remainder would starve frequent callers.
    this.#lastRefillMs += (refill * windowMs) / this.#rate;
  }

  /** ms until `cost` could be taken; a whole window if the bucket never refills. */
  retryAfterMs(cost: number): number {
    if (this.#tokens >= cost) return 0;
    return this.#rate === 0 ? windowMs : Math.ceil(((cost - this.#tokens) * windowMs) / this.#rate);
  }

  /** Takes without a check, into debt if need be. */
  take(cost: number): void {
    this.#tokens -= cost;
  }

  /** Returns units, up to the limit. */
  put(returned: number): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + returned);
  }

  /** Sets new bounds after a refill at the old rate. The balance never grows by it. */
  reshape(limit: number, rate: number, nowMs: number): void {
    this.refill(nowMs);
    // The same bounds again must not drop the fraction of a unit that has accrued.
    if (limit === this.#limit && rate === this.#rate) return;
    this.#limit = limit;
    this.#rate = rate;
    this.#tokens = Math.min(limit, this.#tokens);
    this.#lastRefillMs = nowMs;
  }
}
