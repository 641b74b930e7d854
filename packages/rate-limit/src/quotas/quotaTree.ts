import type { QuotaName, QuotaRule, Finding } from '@pewterlanding/model';

/** The tree of branches: who owns what part of the fleet, and who may borrow from whom first. */
export class QuotaTree {
  readonly #rules: ReadonlyMap<QuotaName, QuotaRule>;
  readonly #own: ReadonlyMap<QuotaName, number>;
  readonly #parents: ReadonlySet<QuotaName>;
  readonly #lenders = new Map<QuotaName | undefined, readonly QuotaName[]>();

  constructor(rules: ReadonlyMap<QuotaName, QuotaRule>) {
    this.#rules = rules;
    const below = new Map<QuotaName, number>();
    for (const { parent, share } of rules.values()) if (parent !== undefined) below.set(parent, (below.get(parent) ?? 0) + share);
    this.#parents = new Set([...rules.values()].flatMap(({ parent }) => parent ?? []));
    this.#own = new Map([...rules.keys()].map((name) => [name, this.#whole(name) * Math.max(0, 1 - (below.get(name) ?? 0))]));
  }

  static findings(rules: ReadonlyMap<QuotaName, QuotaRule>): readonly Finding[] {
    const findings: Finding[] = [];
    const sums = new Map<string, number>();
    for (const [name, rule] of rules) {
      const parent = rule.parent;
      if (parent !== undefined && !rules.has(parent)) findings.push({ place: `branches.${name}.parent`, message: `no branch ${parent}` });
      sums.set(parent ?? '', (sums.get(parent ?? '') ?? 0) + rule.share);
      let at = parent;
      for (let steps = 0; at !== undefined && steps <= rules.size; steps += 1) {
        if (at === name) {
          findings.push({ place: `branches.${name}.parent`, message: 'is its own ancestor' });
          break;
        }
        at = rules.get(at)?.parent;
      }
    }
    for (const [parent, sum] of sums) {
      // Shares are written as decimals; a hair over one is no finding.
      if (sum > 1 + 1e-9)
        findings.push({
          place: parent === '' ? 'branches' : `branches.${parent}`,
          message: `shares below it add up to ${sum.toFixed(3)}, more than 1`,
        });
    }
    return findings;
  }

  names(): readonly QuotaName[] {
    return [...this.#rules.keys()];
  }

  has(name: QuotaName): boolean {
    return this.#rules.has(name);
  }

  /** What is the branch's own of the fleet: its whole, less what its children own. */
  ownShare(name: QuotaName): number {
    return this.#own.get(name) ?? 0;
  }

  /** Branches that may lend to this one, nearest relatives first; itself may be among them. */
  lenders(name: QuotaName): readonly QuotaName[] {
    // From a branch with nothing below it all others are as near as from its parent, so children share one list.
    return this.#lendersAround(this.#parents.has(name) ? name : this.#rules.get(name)?.parent);
  }

  /** Worked out when first asked. */
  #lendersAround(name: QuotaName | undefined): readonly QuotaName[] {
    const known = this.#lenders.get(name);
    if (known !== undefined) return known;
    const path = new Set(name === undefined ? [] : this.#path(name));
    const lenders = this.names()
      .filter((other) => this.#rules.get(other)?.lends === true)
      .map((other) => ({ other, near: this.#path(other).filter((step) => path.has(step)).length }))
      .sort((a, b) => b.near - a.near || (a.other < b.other ? -1 : 1))
      .map(({ other }) => other);
    this.#lenders.set(name, lenders);
    return lenders;
  }

  #path(name: QuotaName): readonly QuotaName[] {
    const parent = this.#rules.get(name)?.parent;
    return parent === undefined ? [name] : [...this.#path(parent), name];
  }

  #whole(name: QuotaName): number {
    const rule = this.#rules.get(name);
    if (rule === undefined) return 0;
    return rule.share * (rule.parent === undefined ? 1 : this.#whole(rule.parent));
  }
}
