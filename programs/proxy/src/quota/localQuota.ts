import { every } from '@pewterlanding/runtime';
import type { QuotaName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { QuotaRequest, QuotaGrant } from '@pewterlanding/agent';
import type { Cost, Taken } from '@pewterlanding/rate-limit';
import { FallbackAllowances } from './fallbackAllowances.js';

interface Waiter {
  readonly cost: Cost;
  readonly untilMs: number;
  readonly take: (taken: Taken) => void;
}

interface Balance {
  requests: number;
  tokens: number;
  /** Spent since the last request, and a moving average of it. */
  spent: Cost;
  mean: Cost;
  usedMs: number;
  waiters: Waiter[];
}

interface LocalQuotaOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly requestIntervalMs: number;
  /** Limit on the time between two requests: they also carry the proxy's leases and live tasks. */
  readonly maxRequestIntervalMs: number;
  /** Without a grant for so long, the proxy spends its fallback rate. */
  readonly fallbackAfterMs: number;
  readonly request: (requested: QuotaRequest['requested'], returned: QuotaRequest['returned']) => Promise<QuotaGrant>;
  /** This proxy's fixed share of a quota, per minute; undefined for a quota that the configuration does not name. */
  readonly fallbackRate: (quota: QuotaName) => Cost | undefined;
}

/** Quota that this proxy holds: granted in small amounts by the counter, or a fixed share while the counter is unreachable. */
export class LocalQuota {
  readonly #options: LocalQuotaOptions;
  readonly #balances = new Map<QuotaName, Balance>();
  readonly #fallback: FallbackAllowances;
  readonly #stop: () => void;
  #grantedAtMs: number;
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  #requestInFlight = false;

  constructor(options: LocalQuotaOptions) {
    this.#options = options;
    this.#fallback = new FallbackAllowances({ clock: options.clock, rateOf: options.fallbackRate });
    this.#grantedAtMs = options.clock.nowMs();
    this.#stop = every(options.clock, options.requestIntervalMs, () => this.#requestIfDue());
  }

  get isOnFallback(): boolean {
    return this.#options.clock.nowMs() - this.#grantedAtMs > this.#options.fallbackAfterMs;
  }

  close(): void {
    this.#stop();
  }

  /** Spends a task's cost. Rejects it as soon as there is known to be none, and waits only while that is not known. */
  take(quota: QuotaName, cost: Cost, waitMs: number): Promise<Taken> {
    const balance = this.#balanceOf(quota);
    const now = this.#options.clock.nowMs();
    if (balance.waiters.length === 0 && this.#spend(quota, balance, cost, now)) return Promise.resolve({ ok: true });
    if (this.isOnFallback) {
      this.#options.counters.add('slices.aloneRefused');
      const retryAfterMs = this.#fallback.retryAfterMs(quota, cost) ?? this.#options.fallbackAfterMs;
      return Promise.resolve({ ok: false, retryAfterMs: Math.max(1, retryAfterMs) });
    }
    return new Promise((take) => {
      balance.waiters.push({ cost, untilMs: now + waitMs, take });
      void this.#request();
    });
  }

  /** Refunds the cost of a task that did not run. */
  put(quota: QuotaName, cost: Cost): void {
    const balance = this.#balanceOf(quota);
    balance.requests += cost.requests;
    balance.tokens += cost.tokens;
  }

  /** Adds the difference between the tokens estimated and used, which may be negative. */
  settle(quota: QuotaName, tokens: number): void {
    this.#balanceOf(quota).tokens += tokens;
  }

  /** Without any quota in use, requests are sent only as often as the counter must hear of the proxy. */
  #requestIfDue(): Promise<void> {
    const { clock, maxRequestIntervalMs, requestIntervalMs } = this.#options;
    if (this.#balances.size === 0 && clock.nowMs() - this.#requestedAtMs < maxRequestIntervalMs - requestIntervalMs / 2)
      return Promise.resolve();
    return this.#request();
  }

  async #request(): Promise<void> {
    if (this.#requestInFlight) return;
    this.#requestInFlight = true;
    try {
      const { requested, returned } = this.#requestBody();
      this.#requestedAtMs = this.#options.clock.nowMs();
      const quotaGrant = await this.#options.request(requested, returned);
      this.#grantedAtMs = this.#options.clock.nowMs();
      for (const { quota, granted, retryAfterMs } of quotaGrant.granted) this.#take(quota, granted, retryAfterMs);
    } catch {
      this.#options.counters.add('slices.undrawn');
      if (this.isOnFallback) for (const [quota, balance] of this.#balances) this.#serve(quota, balance, this.#options.fallbackAfterMs);
    } finally {
      this.#requestInFlight = false;
      this.#rejectExpired();
    }
  }

  #requestBody(): { readonly requested: QuotaRequest['requested']; readonly returned: QuotaRequest['returned'] } {
    const now = this.#options.clock.nowMs();
    const requested: QuotaRequest['requested'] = [];
    const returned: QuotaRequest['returned'] = [];
    for (const [quota, balance] of this.#balances) {
      balance.mean = {
        requests: balance.mean.requests * 0.8 + balance.spent.requests * 0.2,
        tokens: balance.mean.tokens * 0.8 + balance.spent.tokens * 0.2,
      };
      balance.spent = { requests: 0, tokens: 0 };
      const waiting = balance.waiters.reduce(
        (sum, { cost }) => ({ requests: sum.requests + cost.requests, tokens: sum.tokens + cost.tokens }),
        { requests: 0, tokens: 0 },
      );
      // Two requests' worth ahead, so that most tasks find quota without waiting.
      const desired = {
        requests: Math.max(0, Math.ceil(waiting.requests + balance.mean.requests * 3 - balance.requests)),
        tokens: Math.max(0, Math.ceil(waiting.tokens + balance.mean.tokens * 3 - balance.tokens)),
      };
      const first = balance.waiters[0]?.cost;
      const minimum =
        first === undefined
          ? { requests: 0, tokens: 0 }
          : {
              requests: Math.max(0, Math.ceil(first.requests - balance.requests)),
              tokens: Math.max(0, Math.ceil(first.tokens - balance.tokens)),
            };
      // A quota in use is named even when nothing is desired: the counter must not lend its capacity to others.
      const used = now - balance.usedMs < this.#options.fallbackAfterMs * 2;
      if (used || desired.requests > 0 || desired.tokens > 0) requested.push({ quota, desired, minimum });
      // Quota that is unused at this proxy is missing at others.
      if (balance.waiters.length === 0 && !used && (balance.requests !== 0 || balance.tokens !== 0)) {
        returned.push({ quota, returned: { requests: Math.floor(balance.requests), tokens: Math.floor(balance.tokens) } });
        this.#balances.delete(quota);
      }
    }
    return { requested, returned };
  }

  #take(quota: QuotaName, granted: Cost, retryAfterMs: number): void {
    const balance = this.#balanceOf(quota);
    balance.requests += granted.requests;
    balance.tokens += granted.tokens;
    this.#serve(quota, balance, retryAfterMs);
  }

  /** Serves waiting tasks in order. With `retryAfterMs` above 0 there is surely no more, and the rest are rejected with it. */
  #serve(quota: QuotaName, balance: Balance, retryAfterMs: number): void {
    const now = this.#options.clock.nowMs();
    for (let first = balance.waiters[0]; first !== undefined; first = balance.waiters[0]) {
      if (this.#spend(quota, balance, first.cost, now)) {
        balance.waiters.shift();
        first.take({ ok: true });
      } else if (retryAfterMs > 0) {
        balance.waiters.shift();
        first.take({ ok: false, retryAfterMs });
      } else return;
    }
  }

  #rejectExpired(): void {
    const now = this.#options.clock.nowMs();
    for (const balance of this.#balances.values()) {
      const late = balance.waiters.filter((waiter) => waiter.untilMs <= now);
      balance.waiters = balance.waiters.filter((waiter) => waiter.untilMs > now);
      for (const waiter of late) waiter.take({ ok: false, retryAfterMs: this.#options.fallbackAfterMs });
    }
  }

  #spend(quota: QuotaName, balance: Balance, cost: Cost, now: number): boolean {
    if (balance.requests >= cost.requests && balance.tokens >= cost.tokens) {
      balance.requests -= cost.requests;
      balance.tokens -= cost.tokens;
    } else if (!this.isOnFallback || !this.#spendFallback(quota, cost)) return false;
    balance.spent = { requests: balance.spent.requests + cost.requests, tokens: balance.spent.tokens + cost.tokens };
    balance.usedMs = now;
    return true;
  }

  /** The counter sets as much aside for proxies that it does not hear. */
  #spendFallback(quota: QuotaName, cost: Cost): boolean {
    const taken = this.#fallback.take(quota, cost);
    if (taken) this.#options.counters.add('slices.alone');
    return taken;
  }

  #balanceOf(quota: QuotaName): Balance {
    const known = this.#balances.get(quota);
    if (known !== undefined) return known;
    const none = { requests: 0, tokens: 0 };
    const balance: Balance = {
      requests: 0,
      tokens: 0,
      spent: none,
      mean: none,
      usedMs: this.#options.clock.nowMs(),
      waiters: [],
    };
    this.#balances.set(quota, balance);
    return balance;
  }
}
