import type { Cost } from '../buckets/cost.js';
import { LocalAllowance } from '../buckets/localAllowance.js';
import { shareOf } from '../buckets/shareOf.js';

interface AccountBounds {
  /** The branch's own share a minute. */
  readonly rate: Cost;
  readonly waitingRatio: number;
  readonly liveRatio: number;
}

/** One branch's purses: `main` bounds all it spends, `waiting` what its waiting work spends. Both start empty. */
export class Account {
  readonly main: LocalAllowance;
  readonly waiting: LocalAllowance;
  #rate: Cost;
  used: Cost = { requests: 0, tokens: 0 };
  lent: Cost = { requests: 0, tokens: 0 };
  borrowed: Cost = { requests: 0, tokens: 0 };

  constructor(bounds: AccountBounds, nowMs: number) {
    const none = { requests: 0, tokens: 0 };
    this.#rate = bounds.rate;
    this.main = new LocalAllowance(shareOf(bounds.rate, bounds.liveRatio), bounds.rate, none, nowMs);
    this.waiting = new LocalAllowance(shareOf(bounds.rate, bounds.waitingRatio), bounds.rate, none, nowMs);
  }

  get rate(): Cost {
    return this.#rate;
  }

  reshape(bounds: AccountBounds, nowMs: number): void {
    this.#rate = bounds.rate;
    this.main.reshape(shareOf(bounds.rate, bounds.liveRatio), bounds.rate, nowMs);
    this.waiting.reshape(shareOf(bounds.rate, bounds.waitingRatio), bounds.rate, nowMs);
  }
}
