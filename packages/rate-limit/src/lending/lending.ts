import type { QuotaName } from '@pewterlanding/model';
import { addCost, takeBoth } from '../buckets/index.js';
import type { Cost } from '../buckets/index.js';
import type { Account, QuotaAccounts } from '../quotas/index.js';

/**
 * Lending between quotas in one tick: a quota lends while it has neither waiting work nor recent live need.
 * The total that may be lent is summed up once a tick, and each borrower passes an exhausted lender once a tick,
 * so a tick's cost doesn't grow with items times quotas.
 */
export class Lending {
  readonly #accounts: QuotaAccounts;
  readonly #liveNeedMs = new Map<QuotaName, number>();
  /** By borrower, how many of its lenders have nothing left in this tick. */
  readonly #exhaustedLenders = new Map<QuotaName, number>();
  #waiting: ReadonlySet<QuotaName> = new Set();
  #lendable: Cost = { requests: 0, tokens: 0 };
  #looks = 0;

  constructor(accounts: QuotaAccounts) {
    this.#accounts = accounts;
  }

  /** Accounts inspected so far; a measure of what ticks cost. */
  get looks(): number {
    return this.#looks;
  }

  beginTick(waiting: ReadonlySet<QuotaName>, nowMs: number): void {
    this.#waiting = waiting;
    this.#exhaustedLenders.clear();
    this.#lendable = { requests: 0, tokens: 0 };
    for (const [name, account] of this.#accounts.all()) {
      this.#looks += 1;
      if (this.#lends(name, nowMs)) this.#lendable = addCost(this.#lendable, account.available(nowMs));
    }
  }

  /** Live work of this quota needs its share: it doesn't lend for a while. */
  noteLiveNeed(quota: QuotaName, nowMs: number): void {
    this.#liveNeedMs.set(quota, nowMs);
  }

  /** Takes the cost from the first lender that has it, nearest relatives first; returns which. */
  borrow(quota: QuotaName, cost: Cost, nowMs: number): QuotaName | undefined {
    const lenders = this.#accounts.rules.tree.lenders(quota);
    for (let index = this.#exhaustedLenders.get(quota) ?? 0; index < lenders.length; index += 1) {
      this.#looks += 1;
      const lender = lenders[index];
      if (lender !== undefined && lender !== quota && this.#takeFrom(lender, cost, nowMs)) {
        this.#accounts.get(lender)?.addLent(cost);
        this.#accounts.get(quota)?.addBorrowed(cost);
        return lender;
      }
      // A lender without room for this item is not asked again before the next tick.
      this.#exhaustedLenders.set(quota, index + 1);
    }
    return undefined;
  }

  /** How many items of this cost an account could reserve now, of its own and borrowed. */
  capacity(account: Account, cost: Cost, nowMs: number): number {
    this.#looks += 1;
    return itemsIn(account.available(nowMs), cost) + itemsIn(this.#lendable, cost);
  }

  #takeFrom(lender: QuotaName, cost: Cost, nowMs: number): boolean {
    const account = this.#accounts.get(lender);
    if (account === undefined || !this.#lends(lender, nowMs)) return false;
    // The lender's buckets for waiting work bound the loan, so most of its live room stays its own.
    return takeBoth([account.waiting, account.main], cost, nowMs).ok;
  }

  #lends(quota: QuotaName, nowMs: number): boolean {
    if (this.#waiting.has(quota)) return false;
    const neededMs = this.#liveNeedMs.get(quota);
    return neededMs === undefined || nowMs - neededMs > this.#accounts.rules.frontSilenceMs;
  }
}

function itemsIn(available: Cost, cost: Cost): number {
  return Math.min(unitsIn(available.requests, cost.requests), unitsIn(available.tokens, cost.tokens));
}

function unitsIn(available: number, need: number): number {
  return need === 0 ? Number.MAX_SAFE_INTEGER : Math.floor(available / need);
}
