import { every } from '@pewterlanding/runtime';
import type { QuotaName } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { QuotaRequest, QuotaGrant } from '@pewterlanding/agent';
import { LocalAllowance, shareOf, takeBoth } from '@pewterlanding/rate-limit';
import type { Cost, Taken } from '@pewterlanding/rate-limit';

interface Waiter {
  readonly cost: Cost;
  readonly untilMs: number;
  readonly take: (taken: Taken) => void;
}

interface Held {
  requests: number;
  tokens: number;
  /** Spent since the last draw, and a moving average of it. */
  spent: Cost;
  mean: Cost;
  usedMs: number;
  waiters: Waiter[];
  own: LocalAllowance | undefined;
}

interface LocalQuotaOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly drawMs: number;
  /** The counter's holder must hear of this front at least so often, for its leases and its live tasks. */
  readonly wordMs: number;
  /** Without the counter's word for so long, the front spends its fixed slice. */
  readonly aloneMs: number;
  readonly draw: (requested: QuotaRequest['requested'], returned: QuotaRequest['returned']) => Promise<QuotaGrant>;
  /** The branch's part of the fixed slice, a minute; undefined for a branch that no setup knows. */
  readonly fixed: (quota: QuotaName) => Cost | undefined;
}

/** A front's prepaid budget: small slices drawn from the counter, or its fixed slice while the counter is silent. */
export class LocalQuota {
  readonly #options: LocalQuotaOptions;
  readonly #held = new Map<QuotaName, Held>();
  readonly #stop: () => void;
  #heardMs: number;
  #drawnMs = Number.NEGATIVE_INFINITY;
  #drawing = false;

  constructor(options: LocalQuotaOptions) {
    this.#options = options;
    this.#heardMs = options.clock.nowMs();
    this.#stop = every(options.clock, options.drawMs, () => this.#turn());
  }

  get alone(): boolean {
    return this.#options.clock.nowMs() - this.#heardMs > this.#options.aloneMs;
  }

  close(): void {
    this.#stop();
  }

  /** Takes a task's cost. Refuses as soon as it is known that there is none; waits only while that is not known. */
  take(quota: QuotaName, cost: Cost, waitMs: number): Promise<Taken> {
    const held = this.#of(quota);
    const now = this.#options.clock.nowMs();
    if (held.waiters.length === 0 && this.#spend(quota, held, cost, now)) return Promise.resolve({ ok: true });
    if (this.alone) {
      this.#options.counters.add('slices.aloneRefused');
      const retryAfterMs = held.own?.retryAfterMs(cost) ?? this.#options.aloneMs;
      return Promise.resolve({ ok: false, retryAfterMs: Math.max(1, retryAfterMs) });
    }
    return new Promise((take) => {
      held.waiters.push({ cost, untilMs: now + waitMs, take });
      void this.draw();
    });
  }

  /** The task did not run: its cost is there again. */
  put(quota: QuotaName, cost: Cost): void {
    const held = this.#of(quota);
    held.requests += cost.requests;
    held.tokens += cost.tokens;
  }

  /** The difference between what was estimated and what was used. */
  settle(quota: QuotaName, tokens: number): void {
    this.#of(quota).tokens += tokens;
  }

  /** A front with nothing to draw says its word only so often as it must. */
  #turn(): Promise<void> {
    const { clock, wordMs, drawMs } = this.#options;
    if (this.#held.size === 0 && clock.nowMs() - this.#drawnMs < wordMs - drawMs / 2) return Promise.resolve();
    return this.draw();
  }

  async draw(): Promise<void> {
    if (this.#drawing) return;
    this.#drawing = true;
    try {
      const { requested, returned } = this.#words();
      this.#drawnMs = this.#options.clock.nowMs();
      const quotaGrant = await this.#options.draw(requested, returned);
      this.#heardMs = this.#options.clock.nowMs();
      for (const { quota, granted, retryAfterMs } of quotaGrant.granted) this.#take(quota, granted, retryAfterMs);
    } catch {
      this.#options.counters.add('slices.undrawn');
      if (this.alone) for (const [quota, held] of this.#held) this.#serve(quota, held, this.#options.aloneMs);
    } finally {
      this.#drawing = false;
      this.#expire();
    }
  }

  #words(): { readonly requested: QuotaRequest['requested']; readonly returned: QuotaRequest['returned'] } {
    const now = this.#options.clock.nowMs();
    const requested: QuotaRequest['requested'] = [];
    const returned: QuotaRequest['returned'] = [];
    for (const [quota, held] of this.#held) {
      held.mean = {
        requests: held.mean.requests * 0.8 + held.spent.requests * 0.2,
        tokens: held.mean.tokens * 0.8 + held.spent.tokens * 0.2,
      };
      held.spent = { requests: 0, tokens: 0 };
      const waiting = held.waiters.reduce(
        (sum, { cost }) => ({ requests: sum.requests + cost.requests, tokens: sum.tokens + cost.tokens }),
        { requests: 0, tokens: 0 },
      );
      // Two draws' worth ahead, so that the usual task finds its slice here.
      const desired = {
        requests: Math.max(0, Math.ceil(waiting.requests + held.mean.requests * 3 - held.requests)),
        tokens: Math.max(0, Math.ceil(waiting.tokens + held.mean.tokens * 3 - held.tokens)),
      };
      const first = held.waiters[0]?.cost;
      const minimum =
        first === undefined
          ? { requests: 0, tokens: 0 }
          : {
              requests: Math.max(0, Math.ceil(first.requests - held.requests)),
              tokens: Math.max(0, Math.ceil(first.tokens - held.tokens)),
            };
      // A branch in use says so even when it wants nothing now: its room is not there to be lent.
      const used = now - held.usedMs < this.#options.aloneMs * 2;
      if (used || desired.requests > 0 || desired.tokens > 0) requested.push({ quota, desired, minimum });
      // Room that lies here unused is missing elsewhere.
      if (held.waiters.length === 0 && !used && (held.requests !== 0 || held.tokens !== 0)) {
        returned.push({ quota, returned: { requests: Math.floor(held.requests), tokens: Math.floor(held.tokens) } });
        this.#held.delete(quota);
      }
    }
    return { requested, returned };
  }

  #take(quota: QuotaName, granted: Cost, retryAfterMs: number): void {
    const held = this.#of(quota);
    held.requests += granted.requests;
    held.tokens += granted.tokens;
    this.#serve(quota, held, retryAfterMs);
  }

  /** Serves waiters in order; those for whom there is surely nothing are told when to come back. */
  #serve(quota: QuotaName, held: Held, retryAfterMs: number): void {
    const now = this.#options.clock.nowMs();
    for (let first = held.waiters[0]; first !== undefined; first = held.waiters[0]) {
      if (this.#spend(quota, held, first.cost, now)) {
        held.waiters.shift();
        first.take({ ok: true });
      } else if (retryAfterMs > 0) {
        held.waiters.shift();
        first.take({ ok: false, retryAfterMs });
      } else return;
    }
  }

  #expire(): void {
    const now = this.#options.clock.nowMs();
    for (const held of this.#held.values()) {
      const late = held.waiters.filter((waiter) => waiter.untilMs <= now);
      held.waiters = held.waiters.filter((waiter) => waiter.untilMs > now);
      for (const waiter of late) waiter.take({ ok: false, retryAfterMs: this.#options.aloneMs });
    }
  }

  #spend(quota: QuotaName, held: Held, cost: Cost, now: number): boolean {
    if (held.requests >= cost.requests && held.tokens >= cost.tokens) {
      held.requests -= cost.requests;
      held.tokens -= cost.tokens;
    } else if (!this.alone || !this.#spendOwn(quota, held, cost, now)) return false;
    held.spent = { requests: held.spent.requests + cost.requests, tokens: held.spent.tokens + cost.tokens };
    held.usedMs = now;
    return true;
  }

  /** The fixed slice, by the same step as the counter's; the counter keeps back as much for a front it does not hear. */
  #spendOwn(quota: QuotaName, held: Held, cost: Cost, now: number): boolean {
    const rate = this.#options.fixed(quota);
    if (rate === undefined) return false;
    held.own ??= new LocalAllowance(shareOf(rate, 0.1), rate, { requests: 0, tokens: 0 }, now);
    held.own.reshape(shareOf(rate, 0.1), rate, now);
    const taken = takeBoth([held.own], cost, now).ok;
    if (taken) this.#options.counters.add('slices.alone');
    return taken;
  }

  #of(quota: QuotaName): Held {
    const known = this.#held.get(quota);
    if (known !== undefined) return known;
    const none = { requests: 0, tokens: 0 };
    const held: Held = {
      requests: 0,
      tokens: 0,
      spent: none,
      mean: none,
      usedMs: this.#options.clock.nowMs(),
      waiters: [],
      own: undefined,
    };
    this.#held.set(quota, held);
    return held;
  }
}
