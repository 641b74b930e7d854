const windowMs = 60_000;

/** One bucket of the source: tokens, last refill, a limit and a refill rate a minute. Tokens may be in debt after a settlement. */
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

  refill(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastRefillMs;
    const refill = Math.floor((elapsedMs * this.#rate) / windowMs);
    if (refill <= 0) return;
    this.#tokens = Math.min(this.#limit, this.#tokens + refill);
    // Only the time that the whole units stand for has been paid out; dropping the rest would starve frequent callers.
    this.#lastRefillMs += (refill * windowMs) / this.#rate;
  }

  /** How long until `cost` could be taken. */
  retryAfterMs(cost: number): number {
    if (this.#tokens >= cost) return 0;
    return this.#rate === 0 ? windowMs : Math.ceil(((cost - this.#tokens) * windowMs) / this.#rate);
  }

  take(cost: number): void {
    this.#tokens -= cost;
  }

  put(returned: number): void {
    this.#tokens = Math.min(this.#limit, this.#tokens + returned);
  }

  /** Takes new bounds, paying out the old rate first. What is held never grows by it. */
  reshape(limit: number, rate: number, nowMs: number): void {
    this.refill(nowMs);
    // The same bounds again must not cost the fraction of a unit that is under way.
    if (limit === this.#limit && rate === this.#rate) return;
    this.#limit = limit;
    this.#rate = rate;
    this.#tokens = Math.min(limit, this.#tokens);
    this.#lastRefillMs = nowMs;
  }
}
