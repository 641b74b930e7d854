import type { QuotaName } from '@pewterlanding/model';
import type { QuotaRequest } from '@pewterlanding/agent';
import { LocalAllowance, shareOf, takeBoth } from '@pewterlanding/rate-limit';
import type { Cost, Taken } from '@pewterlanding/rate-limit';

/** A task that waits for quota. */
interface Waiter {
  readonly cost: Cost;
  /** By the monotonic clock: it is rejected then. */
  readonly untilMs: number;
  readonly resolve: (taken: Taken) => void;
}

const none: Cost = { requests: 0, tokens: 0 };
/** Weights of the moving average of what is spent between two requests. */
const meanWeight = 0.8;
const spentWeight = 0.2;
/** Requested ahead, in averages: two intervals beyond the current one, so that most tasks find quota without waiting. */
const requestAhead = 3;
/** Part of the fallback rate that may be spent at once. */
const fallbackBurstRatio = 0.1;

/** What this proxy holds of one quota: what was granted and not spent, and the tasks that wait for more. */
export class QuotaBalance {
  readonly #quota: QuotaName;
  /** What corrections after a run cost may make this negative. */
  #requests = 0;
  #tokens = 0;
  /** Since the last request. */
  #spent = none;
  #mean = none;
  #usedMs: number;
  #waiters: Waiter[] = [];
  #fallback: LocalAllowance | undefined;

  constructor(quota: QuotaName, nowMs: number) {
    this.#quota = quota;
    this.#usedMs = nowMs;
  }

  get firstWaiter(): Waiter | undefined {
    return this.#waiters[0];
  }

  get hasWaiters(): boolean {
    return this.#waiters.length > 0;
  }

  /** Whether a task spent from it within the time. */
  isUsed(nowMs: number, withinMs: number): boolean {
    return nowMs - this.#usedMs < withinMs;
  }

  wait(waiter: Waiter): void {
    this.#waiters.push(waiter);
  }

  removeFirstWaiter(): void {
    this.#waiters.shift();
  }

  removeExpiredWaiters(nowMs: number): readonly Waiter[] {
    const expired = this.#waiters.filter((waiter) => waiter.untilMs <= nowMs);
    this.#waiters = this.#waiters.filter((waiter) => waiter.untilMs > nowMs);
    return expired;
  }

  /** Adds a grant, a refund or, with a negative count, a correction. */
  add(cost: Cost): void {
    this.#requests += cost.requests;
    this.#tokens += cost.tokens;
  }

  /** Spends from what was granted, whole or not at all. */
  spend(cost: Cost, nowMs: number): boolean {
    if (this.#requests < cost.requests || this.#tokens < cost.tokens) return false;
    this.#requests -= cost.requests;
    this.#tokens -= cost.tokens;
    this.#noteSpent(cost, nowMs);
    return true;
  }

  /** Spends from the fallback allowance, which refills at a rate per minute by the counter's own rule. */
  spendFallback(cost: Cost, rate: Cost, nowMs: number): boolean {
    const burst = shareOf(rate, fallbackBurstRatio);
    this.#fallback ??= new LocalAllowance(burst, rate, none, nowMs);
    this.#fallback.reshape(burst, rate, nowMs);
    if (!takeBoth([this.#fallback], cost, nowMs).ok) return false;
    this.#noteSpent(cost, nowMs);
    return true;
  }

  /** When the fallback allowance may cover a cost; undefined while there is none. */
  fallbackRetryAfterMs(cost: Cost): number | undefined {
    return this.#fallback?.retryAfterMs(cost);
  }

  /** Counts what was spent since the last call into the average, and gives what to request now. */
  nextRequest(): QuotaRequest['requested'][number] {
    this.#mean = {
      requests: this.#mean.requests * meanWeight + this.#spent.requests * spentWeight,
      tokens: this.#mean.tokens * meanWeight + this.#spent.tokens * spentWeight,
    };
    this.#spent = none;
    const waiting = this.#waiting();
    const desired = this.#missing({
      requests: waiting.requests + this.#mean.requests * requestAhead,
      tokens: waiting.tokens + this.#mean.tokens * requestAhead,
    });
    return { quota: this.#quota, desired, minimum: this.#missing(this.firstWaiter?.cost) };
  }

  /** What may be returned to the counter; undefined when nothing is left. */
  returnable(): QuotaRequest['returned'][number] | undefined {
    if (this.#requests === 0 && this.#tokens === 0) return undefined;
    return { quota: this.#quota, returned: { requests: Math.floor(this.#requests), tokens: Math.floor(this.#tokens) } };
  }

  #waiting(): Cost {
    return this.#waiters.reduce((sum, { cost }) => ({ requests: sum.requests + cost.requests, tokens: sum.tokens + cost.tokens }), none);
  }

  /** What the balance lacks of a cost. */
  #missing(cost: Cost | undefined): Cost {
    if (cost === undefined) return none;
    return {
      requests: Math.max(0, Math.ceil(cost.requests - this.#requests)),
      tokens: Math.max(0, Math.ceil(cost.tokens - this.#tokens)),
    };
  }

  #noteSpent(cost: Cost, nowMs: number): void {
    this.#spent = { requests: this.#spent.requests + cost.requests, tokens: this.#spent.tokens + cost.tokens };
    this.#usedMs = nowMs;
  }
}
