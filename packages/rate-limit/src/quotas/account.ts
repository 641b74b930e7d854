import { addCost, LocalAllowance, shareOf, subtractCost } from '../buckets/index.js';
import type { Cost } from '../buckets/index.js';

interface AccountBounds {
  /** The quota's own share, a minute. */
  readonly rate: Cost;
  /** Capacity of the buckets for waiting work, as a ratio of the rate. */
  readonly waitingRatio: number;
  /** Capacity of the buckets for all work, as a ratio of the rate. */
  readonly liveRatio: number;
}

/**
 * One quota's buckets: `main` bounds all that it spends, `waiting` what its waiting work spends.
 * Both start empty, so that a new counter can't grant again what the one before it has granted.
 */
export class Account {
  readonly main: LocalAllowance;
  readonly waiting: LocalAllowance;
  #rate: Cost;
  #used: Cost = { requests: 0, tokens: 0 };
  #lent: Cost = { requests: 0, tokens: 0 };
  #borrowed: Cost = { requests: 0, tokens: 0 };

  constructor(bounds: AccountBounds, nowMs: number) {
    const none = { requests: 0, tokens: 0 };
    this.#rate = bounds.rate;
    this.main = new LocalAllowance(shareOf(bounds.rate, bounds.liveRatio), bounds.rate, none, nowMs);
    this.waiting = new LocalAllowance(shareOf(bounds.rate, bounds.waitingRatio), bounds.rate, none, nowMs);
  }

  get rate(): Cost {
    return this.#rate;
  }

  /** Spent since the counter began, refunds and corrections subtracted. */
  get used(): Cost {
    return this.#used;
  }

  get lent(): Cost {
    return this.#lent;
  }

  get borrowed(): Cost {
    return this.#borrowed;
  }

  reshape(bounds: AccountBounds, nowMs: number): void {
    this.#rate = bounds.rate;
    this.main.reshape(shareOf(bounds.rate, bounds.liveRatio), bounds.rate, nowMs);
    this.waiting.reshape(shareOf(bounds.rate, bounds.waitingRatio), bounds.rate, nowMs);
  }

  refill(nowMs: number): void {
    this.main.refill(nowMs);
    this.waiting.refill(nowMs);
  }

  /** What waiting work may take now. */
  available(nowMs: number): Cost {
    this.refill(nowMs);
    const main = this.main.held;
    const waiting = this.waiting.held;
    return {
      requests: Math.max(0, Math.min(main.requests, waiting.requests)),
      tokens: Math.max(0, Math.min(main.tokens, waiting.tokens)),
    };
  }

  /** Takes from all buckets without a check, into debt if need be. */
  charge(cost: Cost): void {
    this.main.take(cost);
    this.waiting.take(cost);
  }

  /** Puts back into all buckets; a negative amount takes. */
  put(returned: Cost): void {
    this.main.put(returned);
    this.waiting.put(returned);
  }

  addUsed(cost: Cost): void {
    this.#used = addCost(this.#used, cost);
  }

  subtractUsed(cost: Cost): void {
    this.#used = subtractCost(this.#used, cost);
  }

  addLent(cost: Cost): void {
    this.#lent = addCost(this.#lent, cost);
  }

  addBorrowed(cost: Cost): void {
    this.#borrowed = addCost(this.#borrowed, cost);
  }
}
