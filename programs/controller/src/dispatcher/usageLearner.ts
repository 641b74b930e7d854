import { updateKeys } from '@pewterlanding/agent';
import type { Settlement } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';

/** What services usually put out, learned from settled leases and told when it has moved by a tenth. */
export class UsageLearner {
  readonly #membership: Membership;
  readonly #term: number;
  readonly #usage = new Map<string, { readonly mean: number; readonly told: number }>();
  #told = 0;

  constructor(membership: Membership, term: number) {
    this.#membership = membership;
    this.#term = term;
  }

  learn(one: Settlement): void {
    const known = this.#usage.get(one.service);
    const outputTokens = known === undefined ? one.outputTokens : known.mean * 0.95 + one.outputTokens * 0.05;
    const told = known?.told ?? 0;
    const update = Math.abs(outputTokens - told) > told / 10;
    this.#usage.set(one.service, { mean: outputTokens, told: update ? outputTokens : told });
    if (!update) return;
    this.#told += 1;
    this.#membership.put({
      key: updateKeys.usage(one.service),
      version: [this.#term, this.#told],
      volatile: false,
      value: { service: one.service, outputTokens: Math.ceil(outputTokens) },
    });
  }
}
