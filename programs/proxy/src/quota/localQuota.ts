import type { QuotaGrant, QuotaRequest } from '@pewterlanding/agent';
import type { QuotaName } from '@pewterlanding/model';
import type { Cost, Taken } from '@pewterlanding/rate-limit';
import { every } from '@pewterlanding/runtime';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { QuotaBalance } from './quotaBalance.js';

interface LocalQuotaOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  /** Between two requests while any quota is in use here. */
  readonly requestIntervalMs: number;
  /** Limit on the time between two requests: they also carry the proxy's leases and live tasks. */
  readonly maxRequestIntervalMs: number;
  /** Without a grant for so long, the proxy spends its fallback rate. */
  readonly fallbackAfterMs: number;
  readonly request: (requested: QuotaRequest['requested'], returned: QuotaRequest['returned']) => Promise<QuotaGrant>;
  /** This proxy's fixed share of a quota, per minute; undefined for a quota that the configuration does not name. */
  readonly fallbackRate: (quota: QuotaName) => Cost | undefined;
}

type RequestBody = Pick<QuotaRequest, 'requested' | 'returned'>;

/** A quota not used for so many multiples of `fallbackAfterMs` is returned. */
const usedRatio = 2;

/** Quota that this proxy holds: granted in small amounts by the counter, or a fixed share while the counter is unreachable. */
export class LocalQuota {
  readonly #options: LocalQuotaOptions;
  readonly #balances = new Map<QuotaName, QuotaBalance>();
  readonly #stop: () => void;
  #grantedAtMs: number;
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  #requestInFlight = false;

  constructor(options: LocalQuotaOptions) {
    this.#options = options;
    this.#grantedAtMs = options.clock.nowMs();
    this.#stop = every(options.clock, options.requestIntervalMs, () => this.#requestIfDue());
  }

  /** Whether the counter has been unreachable for so long that the fallback rate is spent. */
  get isOnFallback(): boolean {
    return this.#options.clock.nowMs() - this.#grantedAtMs > this.#options.fallbackAfterMs;
  }

  close(): void {
    this.#stop();
  }

  /** Spends a task's cost. Rejects it as soon as there is known to be none, and waits only while that is not known. */
  take(quota: QuotaName, cost: Cost, waitMs: number): Promise<Taken> {
    const balance = this.#balanceOf(quota);
    const nowMs = this.#options.clock.nowMs();
    if (!balance.hasWaiters && this.#spend(quota, balance, cost, nowMs)) return Promise.resolve({ ok: true });
    if (this.isOnFallback) {
      this.#options.counters.add('slices.aloneRefused');
      const retryAfterMs = balance.fallbackRetryAfterMs(cost) ?? this.#options.fallbackAfterMs;
      return Promise.resolve({ ok: false, retryAfterMs: Math.max(1, retryAfterMs) });
    }
    return new Promise((resolve) => {
      balance.wait({ cost, untilMs: nowMs + waitMs, resolve });
      void this.#request();
    });
  }

  /** Refunds the cost of a task that did not run. */
  put(quota: QuotaName, cost: Cost): void {
    this.#balanceOf(quota).add(cost);
  }

  /** Adds the difference between the tokens estimated and used, which may be negative. */
  settle(quota: QuotaName, tokens: number): void {
    this.#balanceOf(quota).add({ requests: 0, tokens });
  }

  /** Without any quota in use, requests are sent only as often as the proxy must be heard. */
  #requestIfDue(): Promise<void> {
    const { clock, maxRequestIntervalMs, requestIntervalMs } = this.#options;
    const sinceMs = clock.nowMs() - this.#requestedAtMs;
    if (this.#balances.size === 0 && sinceMs < maxRequestIntervalMs - requestIntervalMs / 2) return Promise.resolve();
    return this.#request();
  }

  async #request(): Promise<void> {
    if (this.#requestInFlight) return;
    this.#requestInFlight = true;
    const { clock, request, counters } = this.#options;
    try {
      const { requested, returned } = this.#requestBody();
      this.#requestedAtMs = clock.nowMs();
      const grant = await request(requested, returned);
      this.#grantedAtMs = clock.nowMs();
      for (const { quota, granted, retryAfterMs } of grant.granted) this.#add(quota, granted, retryAfterMs);
    } catch {
      counters.add('slices.undrawn');
      if (this.isOnFallback) this.#serveAllFromFallback();
    } finally {
      this.#requestInFlight = false;
      this.#rejectExpired();
    }
  }

  #requestBody(): RequestBody {
    const nowMs = this.#options.clock.nowMs();
    const requested: QuotaRequest['requested'] = [];
    const returned: QuotaRequest['returned'] = [];
    for (const [quota, balance] of this.#balances) {
      const next = balance.nextRequest();
      // A quota in use is named even when nothing is desired: the counter must not lend its capacity to others.
      const isUsed = balance.isUsed(nowMs, this.#options.fallbackAfterMs * usedRatio);
      if (isUsed || next.desired.requests > 0 || next.desired.tokens > 0) requested.push(next);
      if (isUsed || balance.hasWaiters) continue;
      // What lies here unused is missing at other proxies.
      const unused = balance.returnable();
      if (unused === undefined) continue;
      returned.push(unused);
      this.#balances.delete(quota);
    }
    return { requested, returned };
  }

  #add(quota: QuotaName, granted: Cost, retryAfterMs: number): void {
    const balance = this.#balanceOf(quota);
    balance.add(granted);
    this.#serve(quota, balance, retryAfterMs);
  }

  #serveAllFromFallback(): void {
    for (const [quota, balance] of this.#balances) this.#serve(quota, balance, this.#options.fallbackAfterMs);
  }

  /** Serves waiting tasks in order. With `retryAfterMs` above 0 there is surely no more, and the rest are rejected with it. */
  #serve(quota: QuotaName, balance: QuotaBalance, retryAfterMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    for (let first = balance.firstWaiter; first !== undefined; first = balance.firstWaiter) {
      const isServed = this.#spend(quota, balance, first.cost, nowMs);
      if (!isServed && retryAfterMs <= 0) return;
      balance.removeFirstWaiter();
      first.resolve(isServed ? { ok: true } : { ok: false, retryAfterMs });
    }
  }

  #rejectExpired(): void {
    const { clock, fallbackAfterMs } = this.#options;
    const nowMs = clock.nowMs();
    for (const balance of this.#balances.values()) {
      for (const waiter of balance.removeExpiredWaiters(nowMs)) waiter.resolve({ ok: false, retryAfterMs: fallbackAfterMs });
    }
  }

  #spend(quota: QuotaName, balance: QuotaBalance, cost: Cost, nowMs: number): boolean {
    if (balance.spend(cost, nowMs)) return true;
    return this.isOnFallback && this.#spendFallback(quota, balance, cost, nowMs);
  }

  /** The counter sets the fallback shares aside for proxies that it does not hear. */
  #spendFallback(quota: QuotaName, balance: QuotaBalance, cost: Cost, nowMs: number): boolean {
    const rate = this.#options.fallbackRate(quota);
    if (rate === undefined) return false;
    const isSpent = balance.spendFallback(cost, rate, nowMs);
    if (isSpent) this.#options.counters.add('slices.alone');
    return isSpent;
  }

  #balanceOf(quota: QuotaName): QuotaBalance {
    const known = this.#balances.get(quota);
    if (known !== undefined) return known;
    const balance = new QuotaBalance(quota, this.#options.clock.nowMs());
    this.#balances.set(quota, balance);
    return balance;
  }
}
