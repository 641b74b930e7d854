import type { QuotaName } from '@pewterlanding/model';
import { shareOf, takeBoth } from '../buckets/index.js';
import type { Cost, Taken } from '../buckets/index.js';
import { Lending } from '../lending/index.js';
import { QuotaAccounts } from '../quotas/index.js';
import type { CounterRules, QuotaView } from '../quotas/index.js';
import { Reservations } from '../reservations/index.js';
import { ActiveFronts } from './activeFronts.js';
import type { Balances } from './balances.js';
import { grantByHalving } from './grantByHalving.js';

/** Retry delay for a quota that this counter doesn't know. */
const unknownQuotaRetryMs = 60_000;

/**
 * The fleet's rate limiter: every quota's buckets, on one node, in memory. Each method is synchronous and so atomic.
 * All times are ms by one monotonic clock; costs are requests and tokens, rates are per minute.
 */
export class Counter {
  readonly #accounts: QuotaAccounts;
  readonly #reservations: Reservations;
  readonly #lending: Lending;
  readonly #fronts = new ActiveFronts();
  /** Part of the fronts that was not heard when the accounts were last sized; undefined before that. */
  #unheardRatio: number | undefined;

  constructor(rules: CounterRules, nowMs: number) {
    this.#accounts = new QuotaAccounts(rules);
    this.#reservations = new Reservations(this.#accounts);
    this.#lending = new Lending(this.#accounts);
    this.watch(nowMs);
  }

  /** Takes a new configuration: new quotas start empty, removed ones are deleted. */
  reshape(rules: CounterRules, nowMs: number): void {
    this.#accounts.replaceRules(rules);
    this.#unheardRatio = undefined;
    this.watch(nowMs);
  }

  heard(front: string, nowMs: number): void {
    this.#fronts.heard(front, nowMs);
  }

  /** Subtracts the fallback allowances of all fronts that are not heard from the shares, before those fronts begin to use them. */
  watch(nowMs: number): void {
    const { frontSilenceMs, fronts, fallbackRatio } = this.#accounts.rules;
    this.#fronts.removeSilent(frontSilenceMs, nowMs);
    const unheardRatio = Math.max(0, fronts - this.#fronts.count) / fronts;
    if (unheardRatio === this.#unheardRatio) return;
    this.#unheardRatio = unheardRatio;
    this.#accounts.resize(1 - unheardRatio * fallbackRatio, nowMs);
  }

  /** Begins a dispatch tick: quotas in `waiting` have waiting work and lend nothing; what the others lend is summed up once. */
  tick(waiting: ReadonlySet<QuotaName>, nowMs: number): void {
    this.#lending.beginTick(waiting, nowMs);
  }

  /** Accounts inspected so far; a measure of what ticks cost. */
  get looks(): number {
    return this.#lending.looks;
  }

  /** Reserves for one item of waiting work, from its own quota or from one that lends. A repeat for the same id succeeds at no cost. */
  reserve(id: string, quota: QuotaName, cost: Cost, nowMs: number): Taken {
    if (this.#reservations.has(id)) return { ok: true };
    const own = this.#accounts.get(quota);
    if (own === undefined) return { ok: false, retryAfterMs: unknownQuotaRetryMs };
    const taken = takeBoth([own.waiting, own.main], cost, nowMs);
    const from = taken.ok ? quota : this.#lending.borrow(quota, cost, nowMs);
    if (from === undefined) return taken;
    this.#reservations.add(id, { quota, from, cost });
    return { ok: true };
  }

  /** Reserves without a check, into debt if need be: for leases that a new counter finds open. */
  charge(id: string, quota: QuotaName, cost: Cost): void {
    const account = this.#accounts.get(quota);
    if (account === undefined || this.#reservations.has(id)) return;
    account.charge(cost);
    this.#reservations.add(id, { quota, from: quota, cost });
  }

  /** The item did not run: its whole cost goes back. */
  refund(id: string): void {
    this.#reservations.refund(id);
  }

  /** The item ran and used so many tokens: the difference to its estimate is returned, or taken into debt. */
  settle(id: string, tokens: number): void {
    this.#reservations.settle(id, tokens);
  }

  /** The lease closed without a settlement: the estimate stays spent. */
  forget(id: string): void {
    this.#reservations.forget(id);
  }

  /** All that the next counter needs to go on where this one stops. */
  balances(nowMs: number): Balances {
    const accounts = [...this.#accounts.all()];
    for (const [, account] of accounts) account.refill(nowMs);
    return {
      purses: accounts.map(([quota, { main, waiting }]) => ({ quota, main: main.held, waiting: waiting.held })),
      open: [...this.#reservations.all()].map(([id, reservation]) => ({ id, ...reservation })),
      fronts: [...this.#fronts.all()].map(([front, heardMs]) => ({ front, ageMs: Math.ceil(nowMs - heardMs) })),
    };
  }

  /** Begins with the balances of the counter before it. Its reservations are known by that, so `charge` does not take them again. */
  adopt(balances: Balances, nowMs: number): void {
    for (const { front, ageMs } of balances.fronts) this.heard(front, nowMs - ageMs);
    this.watch(nowMs);
    for (const { quota, main, waiting } of balances.purses) {
      const account = this.#accounts.get(quota);
      account?.main.put(main);
      account?.waiting.put(waiting);
    }
    for (const { id, ...reservation } of balances.open) this.#reservations.restore(id, reservation);
  }

  /** The quota's own share of the fleet, 0 to 1. */
  shareOf(quota: QuotaName): number {
    return this.#accounts.rules.tree.ownShare(quota);
  }

  /** Ids of the open reservations. */
  open(): readonly string[] {
    return [...this.#reservations.all().keys()];
  }

  /** Grants a front an allowance for live work: `desired`, or by halves what is there, but at least `minimum` or else nothing. */
  draw(quota: QuotaName, desired: Cost, minimum: Cost, nowMs: number): ReturnType<typeof grantByHalving> {
    const account = this.#accounts.get(quota);
    if (account === undefined) return { granted: { requests: 0, tokens: 0 }, retryAfterMs: unknownQuotaRetryMs };
    this.#lending.noteLiveNeed(quota, nowMs);
    const grant = grantByHalving(account.main, desired, minimum, nowMs);
    account.addUsed(grant.granted);
    return grant;
  }

  /** Returns what a front did not use; negative for what it used beyond its estimates. */
  correct(quota: QuotaName, returned: { readonly requests: number; readonly tokens: number }): void {
    const account = this.#accounts.get(quota);
    if (account === undefined) return;
    account.main.put(returned);
    account.subtractUsed(returned);
  }

  /** How many items of about this cost the quota could reserve now: the bound of one tick. */
  capacity(quota: QuotaName, cost: Cost, nowMs: number): number {
    const account = this.#accounts.get(quota);
    return account === undefined ? 0 : this.#lending.capacity(account, cost, nowMs);
  }

  /** Capacity of the token bucket for a quota's waiting work: an item with a higher estimate could never be reserved. */
  maxTokens(quota: QuotaName): number {
    const account = this.#accounts.get(quota);
    return account === undefined ? 0 : shareOf(account.rate, this.#accounts.rules.waitingRatio).tokens;
  }

  view(): readonly QuotaView[] {
    const { tree, waitingRatio } = this.#accounts.rules;
    return [...this.#accounts.all()].map(([quota, { used, lent, borrowed, rate, main }]) => ({
      quota,
      share: tree.ownShare(quota),
      used,
      lent,
      borrowed,
      waitingLimit: shareOf(rate, waitingRatio),
      held: main.held,
    }));
  }
}
