import type { QuotaName, QuotaRule, Finding } from '@pewterlanding/model';

/** Shares are written as decimals, so their sums may be slightly above 1. */
const roundingSlack = 1e-9;

/** The hierarchy of quotas: each quota's own share of the fleet, and the order in which it may borrow from others. */
export class QuotaTree {
  readonly #rules: ReadonlyMap<QuotaName, QuotaRule>;
  readonly #ownShares = new Map<QuotaName, number>();
  readonly #parents = new Set<QuotaName>();
  /** Computed on first use. */
  readonly #lenders = new Map<QuotaName | undefined, readonly QuotaName[]>();

  /** Expects rules without findings; a cycle of parents would not end. */
  constructor(rules: ReadonlyMap<QuotaName, QuotaRule>) {
    this.#rules = rules;
    const childShares = new Map<QuotaName, number>();
    for (const { parent, share } of rules.values()) {
      if (parent === undefined) continue;
      this.#parents.add(parent);
      childShares.set(parent, (childShares.get(parent) ?? 0) + share);
    }
    for (const name of rules.keys()) {
      const remainder = 1 - (childShares.get(name) ?? 0);
      this.#ownShares.set(name, this.#totalShare(name) * Math.max(0, remainder));
    }
  }

  /** What is wrong with the rules: unknown parents, cycles, and shares of siblings that exceed 1. Empty if they make a tree. */
  static findings(rules: ReadonlyMap<QuotaName, QuotaRule>): readonly Finding[] {
    const findings: Finding[] = [];
    const sums = new Map<string, number>();
    for (const [name, { parent, share }] of rules) {
      if (parent !== undefined && !rules.has(parent)) findings.push({ place: `branches.${name}.parent`, message: `no branch ${parent}` });
      if (isOwnAncestor(rules, name)) findings.push({ place: `branches.${name}.parent`, message: 'is its own ancestor' });
      const siblings = parent ?? '';
      sums.set(siblings, (sums.get(siblings) ?? 0) + share);
    }
    for (const [parent, sum] of sums) {
      if (sum <= 1 + roundingSlack) continue;
      const place = parent === '' ? 'branches' : `branches.${parent}`;
      findings.push({ place, message: `shares below it add up to ${sum.toFixed(3)}, more than 1` });
    }
    return findings;
  }

  names(): readonly QuotaName[] {
    return [...this.#rules.keys()];
  }

  has(name: QuotaName): boolean {
    return this.#rules.has(name);
  }

  /** The quota's own share of the fleet, 0 to 1: its total share less those of its children. 0 for an unknown quota. */
  ownShare(name: QuotaName): number {
    return this.#ownShares.get(name) ?? 0;
  }

  /** Quotas that may lend to this one, nearest relatives first, then by name; itself may be among them. */
  lenders(name: QuotaName): readonly QuotaName[] {
    // Seen from a quota without children all others are as near as from its parent, so siblings share one list.
    return this.#lendersAround(this.#parents.has(name) ? name : this.#rules.get(name)?.parent);
  }

  #lendersAround(name: QuotaName | undefined): readonly QuotaName[] {
    const known = this.#lenders.get(name);
    if (known !== undefined) return known;
    const path = new Set(name === undefined ? [] : this.#ancestry(name));
    const lenders = this.names()
      .filter((other) => this.#rules.get(other)?.lends === true)
      .map((other) => ({ other, commonAncestors: this.#ancestry(other).filter((step) => path.has(step)).length }))
      .sort((a, b) => b.commonAncestors - a.commonAncestors || (a.other < b.other ? -1 : 1))
      .map(({ other }) => other);
    this.#lenders.set(name, lenders);
    return lenders;
  }

  /** From the root down to the quota itself. */
  #ancestry(name: QuotaName): readonly QuotaName[] {
    const parent = this.#rules.get(name)?.parent;
    return parent === undefined ? [name] : [...this.#ancestry(parent), name];
  }

  #totalShare(name: QuotaName): number {
    const rule = this.#rules.get(name);
    if (rule === undefined) return 0;
    return rule.share * (rule.parent === undefined ? 1 : this.#totalShare(rule.parent));
  }
}

function isOwnAncestor(rules: ReadonlyMap<QuotaName, QuotaRule>, name: QuotaName): boolean {
  let ancestor = rules.get(name)?.parent;
  // A cycle above that does not lead back to this quota would not end otherwise.
  for (let steps = 0; ancestor !== undefined && steps <= rules.size; steps += 1) {
    if (ancestor === name) return true;
    ancestor = rules.get(ancestor)?.parent;
  }
  return false;
}
