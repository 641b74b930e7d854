import type { QuotaName } from '@pewterlanding/model';
import { shareOf } from '../buckets/index.js';
import { Account } from './account.js';
import type { CounterRules } from './counterRules.js';

/** The accounts of all quotas, sized by their shares of the ceiling. */
export class QuotaAccounts {
  readonly #accounts = new Map<QuotaName, Account>();
  #rules: CounterRules;

  constructor(rules: CounterRules) {
    this.#rules = rules;
  }

  get rules(): CounterRules {
    return this.#rules;
  }

  get(quota: QuotaName): Account | undefined {
    return this.#accounts.get(quota);
  }

  all(): ReadonlyMap<QuotaName, Account> {
    return this.#accounts;
  }

  /** Takes new rules and deletes accounts of quotas that are gone; `resize` applies the new sizes. */
  replaceRules(rules: CounterRules): void {
    this.#rules = rules;
    for (const name of this.#accounts.keys()) if (!rules.tree.has(name)) this.#accounts.delete(name);
  }

  /** Gives each quota its share of `ratio` of the ceiling; accounts of new quotas start empty. */
  resize(ratio: number, nowMs: number): void {
    const { tree, ceiling, waitingRatio, liveRatio } = this.#rules;
    for (const name of tree.names()) {
      const bounds = { rate: shareOf(ceiling, tree.ownShare(name) * ratio), waitingRatio, liveRatio };
      const account = this.#accounts.get(name);
      if (account === undefined) this.#accounts.set(name, new Account(bounds, nowMs));
      else account.reshape(bounds, nowMs);
    }
  }
}
