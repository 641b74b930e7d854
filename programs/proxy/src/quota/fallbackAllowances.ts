import type { QuotaName } from '@pewterlanding/model';
import { LocalAllowance, shareOf, takeBoth } from '@pewterlanding/rate-limit';
import type { Cost } from '@pewterlanding/rate-limit';
import type { Clock } from '@pewterlanding/runtime';

interface FallbackAllowancesOptions {
  readonly clock: Clock;
  /** This proxy's fixed share of a quota, per minute; undefined for a quota that the configuration does not name. */
  readonly rateOf: (quota: QuotaName) => Cost | undefined;
}

/** Part of one minute's share that may be saved up. */
const burstRatio = 0.1;
const nothing: Cost = { requests: 0, tokens: 0 };

/**
 * The fixed shares of the quotas that this proxy spends while the counter is unreachable. A share accrues from the proxy's start on, used
 * or not, and is never reset: over any time a proxy spends at most its rate and one burst of it, however often the counter comes and goes.
 */
export class FallbackAllowances {
  readonly #options: FallbackAllowancesOptions;
  readonly #startedAtMs: number;
  readonly #allowances = new Map<QuotaName, LocalAllowance>();

  constructor(options: FallbackAllowancesOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Spends the cost by the counter's own rule; false when the share does not cover it. */
  take(quota: QuotaName, cost: Cost): boolean {
    const allowance = this.#current(quota);
    return allowance !== undefined && takeBoth([allowance], cost, this.#options.clock.nowMs()).ok;
  }

  /** When the share will cover the cost, in milliseconds; undefined for a quota without a share. */
  retryAfterMs(quota: QuotaName, cost: Cost): number | undefined {
    return this.#current(quota)?.retryAfterMs(cost);
  }

  #current(quota: QuotaName): LocalAllowance | undefined {
    const rate = this.#options.rateOf(quota);
    if (rate === undefined) {
      this.#allowances.delete(quota);
      return undefined;
    }
    const burst = shareOf(rate, burstRatio);
    const allowance = this.#allowances.get(quota) ?? new LocalAllowance(burst, rate, nothing, this.#startedAtMs);
    this.#allowances.set(quota, allowance);
    const nowMs = this.#options.clock.nowMs();
    // Also refills.
    allowance.reshape(burst, rate, nowMs);
    return allowance;
  }
}
