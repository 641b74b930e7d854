import { Bucket } from './bucket.js';
import type { Cost } from './cost.js';

/** A pair of buckets that are taken from together: requests and tokens. Rates are per minute. */
export class LocalAllowance {
  readonly requests: Bucket;
  readonly tokens: Bucket;

  constructor(limit: Cost, rate: Cost, balance: Cost, nowMs: number) {
    this.requests = new Bucket(limit.requests, rate.requests, balance.requests, nowMs);
    this.tokens = new Bucket(limit.tokens, rate.tokens, balance.tokens, nowMs);
  }

  /** The balances; negative in debt. */
  get held(): { readonly requests: number; readonly tokens: number } {
    return { requests: this.requests.tokens, tokens: this.tokens.tokens };
  }

  refill(nowMs: number): void {
    this.requests.refill(nowMs);
    this.tokens.refill(nowMs);
  }

  /** ms until both buckets could pay the cost. */
  retryAfterMs(cost: Cost): number {
    return Math.max(this.requests.retryAfterMs(cost.requests), this.tokens.retryAfterMs(cost.tokens));
  }

  take(cost: Cost): void {
    this.requests.take(cost.requests);
    this.tokens.take(cost.tokens);
  }

  put(returned: Cost): void {
    this.requests.put(returned.requests);
    this.tokens.put(returned.tokens);
  }

  reshape(limit: Cost, rate: Cost, nowMs: number): void {
    this.requests.reshape(limit.requests, rate.requests, nowMs);
    this.tokens.reshape(limit.tokens, rate.tokens, nowMs);
  }
}
