import { updateKeys } from '@pewterlanding/agent';
import type { Settlement } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';

/** The weights in the moving average of what is known and of one settlement more. */
const historyWeight = 0.95;
const sampleWeight = 0.05;
/** A change by more than one such part of the published mean is published. */
const publishedParts = 10;

interface ServiceUsage {
  /** Exponential moving average of the output tokens of a request. */
  readonly mean: number;
  readonly published: number;
}

/** Learns the usual output tokens of each service from settled leases, and publishes them in the state table. */
export class UsageLearner {
  readonly #membership: Membership;
  readonly #term: number;
  readonly #usages = new Map<string, ServiceUsage>();
  #publications = 0;

  constructor(membership: Membership, term: number) {
    this.#membership = membership;
    this.#term = term;
  }

  /** Takes the output tokens of one settled run into the mean, and publishes the mean if it has changed enough. */
  learn({ service, outputTokens }: Settlement): void {
    const known = this.#usages.get(service);
    const mean = known === undefined ? outputTokens : known.mean * historyWeight + outputTokens * sampleWeight;
    const published = known?.published ?? 0;
    const changed = Math.abs(mean - published) > published / publishedParts;
    this.#usages.set(service, { mean, published: changed ? mean : published });
    if (changed) this.#publish(service, mean);
  }

  #publish(service: Settlement['service'], mean: number): void {
    this.#publications += 1;
    this.#membership.put({
      key: updateKeys.usage(service),
      version: [this.#term, this.#publications],
      volatile: false,
      value: { service, outputTokens: Math.ceil(mean) },
    });
  }
}
