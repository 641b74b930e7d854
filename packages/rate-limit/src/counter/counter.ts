import type { QuotaName } from '@pewterlanding/model';
import { Account } from '../quotas/account.js';
import type { Balances } from './balances.js';
import type { QuotaView } from '../quotas/quotaView.js';
import type { Cost } from '../buckets/cost.js';
import type { CounterRules } from './counterRules.js';
import type { Reservation } from '../reservations/reservation.js';
import { shareOf } from '../buckets/shareOf.js';
import type { Taken } from '../buckets/taken.js';
import { takeBoth } from '../buckets/takeBoth.js';

/** The counter: every branch's purses, on one node, in memory. Each of its steps is synchronous and so atomic. */
export class Counter {
  #rules: CounterRules;
  readonly #accounts = new Map<QuotaName, Account>();
  readonly #reservations = new Map<string, Reservation>();
  readonly #fronts = new Map<string, number>();
  readonly #needMs = new Map<QuotaName, number>();
  #waiting: ReadonlySet<QuotaName> = new Set();
  #lendable: Cost = { requests: 0, tokens: 0 };
  /** How far down its lenders each borrower has got in this tick: those before have nothing left. */
  readonly #reached = new Map<QuotaName, number>();
  #looks = 0;
  #held = -1;

  constructor(rules: CounterRules, nowMs: number) {
    this.#rules = rules;
    this.reshape(rules, nowMs);
  }

  /** Takes a new setup. New branches start empty, pruned ones are forgotten. */
  reshape(rules: CounterRules, nowMs: number): void {
    this.#rules = rules;
    this.#held = -1;
    for (const name of this.#accounts.keys()) if (!rules.tree.has(name)) this.#accounts.delete(name);
    this.watch(nowMs);
  }

  heard(front: string, nowMs: number): void {
    this.#fronts.set(front, nowMs);
  }

  /** Holds back the fixed slices of all fronts that are not heard, before they begin to use them. */
  watch(nowMs: number): void {
    for (const [front, heardMs] of this.#fronts) if (nowMs - heardMs > this.#rules.frontSilenceMs) this.#fronts.delete(front);
    const unheard = Math.max(0, this.#rules.fronts - this.#fronts.size) / this.#rules.fronts;
    if (unheard === this.#held) return;
    this.#held = unheard;
    const ratio = 1 - unheard * this.#rules.fallbackRatio;
    for (const name of this.#rules.tree.names()) {
      const rate = shareOf(this.#rules.ceiling, this.#rules.tree.ownShare(name) * ratio);
      const bounds = { rate, waitingRatio: this.#rules.waitingRatio, liveRatio: this.#rules.liveRatio };
      const account = this.#accounts.get(name);
      if (account === undefined) this.#accounts.set(name, new Account(bounds, nowMs));
      else account.reshape(bounds, nowMs);
    }
  }

  /** Begins a tick: tells which branches have waiting work, for those lend nothing, and works out once what the others lend. */
  tick(waiting: ReadonlySet<QuotaName>, nowMs: number): void {
    this.#waiting = waiting;
    this.#reached.clear();
    this.#lendable = { requests: 0, tokens: 0 };
    for (const [name, account] of this.#accounts) {
      this.#looks += 1;
      if (!this.#lends(name, nowMs)) continue;
      const room = roomOf(account, nowMs);
      this.#lendable = { requests: this.#lendable.requests + room.requests, tokens: this.#lendable.tokens + room.tokens };
    }
  }

  /** How many accounts were looked at; what a tick costs grows with this. */
  get looks(): number {
    return this.#looks;
  }

  /** Reserves for one item of waiting work, from its own branch or from one that lends. */
  reserve(id: string, quota: QuotaName, cost: Cost, nowMs: number): Taken {
    if (this.#reservations.has(id)) return { ok: true };
    const own = this.#accounts.get(quota);
    if (own === undefined) return { ok: false, retryAfterMs: 60_000 };
    const taken = takeBoth([own.waiting, own.main], cost, nowMs);
    if (taken.ok) {
      this.#keep(id, { quota, from: quota, cost }, own);
      return taken;
    }
    const lenders = this.#rules.tree.lenders(quota);
    for (let at = this.#reached.get(quota) ?? 0; at < lenders.length; at += 1) {
      this.#looks += 1;
      const from = lenders[at];
      const lender = from === undefined ? undefined : this.#accounts.get(from);
      // The lender's waiting purse bounds the loan, so most of its live room stays its own.
      if (
        from !== undefined &&
        from !== quota &&
        lender !== undefined &&
        this.#lends(from, nowMs) &&
        takeBoth([lender.waiting, lender.main], cost, nowMs).ok
      ) {
        this.#keep(id, { quota, from, cost }, own);
        lender.lent = plus(lender.lent, cost);
        own.borrowed = plus(own.borrowed, cost);
        return { ok: true };
      }
      // What has nothing now has nothing for the rest of this tick.
      this.#reached.set(quota, at + 1);
    }
    return taken;
  }

  /** Puts a reservation in debt without asking: what a takeover finds leased already. */
  charge(id: string, quota: QuotaName, cost: Cost): void {
    const account = this.#accounts.get(quota);
    if (account === undefined || this.#reservations.has(id)) return;
    account.main.take(cost);
    account.waiting.take(cost);
    this.#keep(id, { quota, from: quota, cost }, account);
  }

  /** The item did not run: all of it goes back. */
  refund(id: string): void {
    const reservation = this.#reservations.get(id);
    if (reservation === undefined) return;
    this.#reservations.delete(id);
    this.#put(reservation.from, reservation.cost);
    const own = this.#accounts.get(reservation.quota);
    if (own !== undefined) own.used = plus(own.used, reservation.cost, -1);
  }

  /** The item ran: the difference between estimate and use is settled, into debt if need be. */
  settle(id: string, tokens: number): void {
    const reservation = this.#reservations.get(id);
    if (reservation === undefined) return;
    this.#reservations.delete(id);
    this.#put(reservation.from, { requests: 0, tokens: reservation.cost.tokens - tokens });
    const own = this.#accounts.get(reservation.quota);
    if (own !== undefined) own.used = plus(own.used, { requests: 0, tokens: tokens - reservation.cost.tokens });
  }

  /** A lease that closed without a word: the estimate stays spent. */
  forget(id: string): void {
    this.#reservations.delete(id);
  }

  /** All that the next counter needs to go on where this one stops. */
  balances(nowMs: number): Balances {
    for (const account of this.#accounts.values()) {
      account.main.refill(nowMs);
      account.waiting.refill(nowMs);
    }
    return {
      purses: [...this.#accounts].map(([quota, account]) => ({
        quota,
        main: { ...account.main.held },
        waiting: { ...account.waiting.held },
      })),
      open: [...this.#reservations].map(([id, reservation]) => ({ id, ...reservation })),
      fronts: [...this.#fronts].map(([front, heardMs]) => ({ front, ageMs: Math.ceil(nowMs - heardMs) })),
    };
  }

  /** Begins with what the counter before it held. Reservations are known by it already, and are not charged again when leases are read. */
  adopt(balances: Balances, nowMs: number): void {
    for (const { front, ageMs } of balances.fronts) this.heard(front, nowMs - ageMs);
    this.watch(nowMs);
    for (const { quota, main, waiting } of balances.purses) {
      const account = this.#accounts.get(quota);
      account?.main.put(main);
      account?.waiting.put(waiting);
    }
    for (const { id, ...reservation } of balances.open) this.#reservations.set(id, reservation);
  }

  shareOf(quota: QuotaName): number {
    return this.#rules.tree.ownShare(quota);
  }

  open(): readonly string[] {
    return [...this.#reservations.keys()];
  }

  /** Draws a prepaid slice for live work: as much of `wish` as is there, by halves, but never less than `least`. */
  draw(quota: QuotaName, desired: Cost, minimum: Cost, nowMs: number): { readonly granted: Cost; readonly retryAfterMs: number } {
    const account = this.#accounts.get(quota);
    if (account === undefined) return { granted: { requests: 0, tokens: 0 }, retryAfterMs: 60_000 };
    this.#needMs.set(quota, nowMs);
    for (let cost = desired; cost.requests >= minimum.requests && cost.tokens >= minimum.tokens; cost = shareOf(cost, 0.5)) {
      if (cost.requests === 0 && cost.tokens === 0) break;
      if (!takeBoth([account.main], cost, nowMs).ok) continue;
      account.used = plus(account.used, cost);
      return { granted: cost, retryAfterMs: 0 };
    }
    const taken = takeBoth([account.main], minimum, nowMs);
    if (!taken.ok) return { granted: { requests: 0, tokens: 0 }, retryAfterMs: taken.retryAfterMs };
    account.used = plus(account.used, minimum);
    return { granted: minimum, retryAfterMs: 0 };
  }

  /** Gives back what a front did not use, or takes what it used beyond its estimates. */
  correct(quota: QuotaName, returned: { readonly requests: number; readonly tokens: number }): void {
    const account = this.#accounts.get(quota);
    if (account === undefined) return;
    account.main.put(returned);
    account.used = plus(account.used, returned, -1);
  }

  /** How many items of about this cost the branch could reserve now; the tick's token capacity. */
  capacity(quota: QuotaName, cost: Cost, nowMs: number): number {
    const account = this.#accounts.get(quota);
    if (account === undefined) return 0;
    this.#looks += 1;
    return itemsIn(roomOf(account, nowMs), cost) + itemsIn(this.#lendable, cost);
  }

  /** The most tokens that a branch's waiting work can ever hold at once. */
  maxTokens(quota: QuotaName): number {
    const account = this.#accounts.get(quota);
    return account === undefined ? 0 : shareOf(account.rate, this.#rules.waitingRatio).tokens;
  }

  view(): readonly QuotaView[] {
    return [...this.#accounts].map(([quota, account]) => ({
      quota,
      share: this.#rules.tree.ownShare(quota),
      used: account.used,
      lent: account.lent,
      borrowed: account.borrowed,
      waitingLimit: shareOf(account.rate, this.#rules.waitingRatio),
      held: { requests: account.main.requests.tokens, tokens: account.main.tokens.tokens },
    }));
  }

  #lends(from: QuotaName, nowMs: number): boolean {
    const neededMs = this.#needMs.get(from);
    return !this.#waiting.has(from) && (neededMs === undefined || nowMs - neededMs > this.#rules.frontSilenceMs);
  }

  #keep(id: string, reservation: Reservation, own: Account): void {
    this.#reservations.set(id, reservation);
    own.used = plus(own.used, reservation.cost);
  }

  #put(from: QuotaName, returned: Cost): void {
    const account = this.#accounts.get(from);
    account?.main.put(returned);
    account?.waiting.put(returned);
  }
}

/** What waiting work may take of an account now. */
function roomOf(account: Account, nowMs: number): Cost {
  account.main.refill(nowMs);
  account.waiting.refill(nowMs);
  const { main, waiting } = account;
  const room = (a: number, b: number): number => Math.max(0, Math.min(a, b));
  return { requests: room(main.held.requests, waiting.held.requests), tokens: room(main.held.tokens, waiting.held.tokens) };
}

function itemsIn(room: Cost, cost: Cost): number {
  const items = (held: number, need: number): number => (need === 0 ? Number.MAX_SAFE_INTEGER : Math.floor(held / need));
  return Math.min(items(room.requests, cost.requests), items(room.tokens, cost.tokens));
}

function plus(a: Cost, b: Cost, sign: 1 | -1 = 1): Cost {
  return { requests: a.requests + sign * b.requests, tokens: a.tokens + sign * b.tokens };
}
