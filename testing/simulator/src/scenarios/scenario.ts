import type { SimRun } from '../simulation/index.js';

/** One failure of the brief, brought about on purpose: what it needs of the fleet, and what happens on it. */
export interface Scenario {
  readonly options?: {
    readonly tasks?: number;
    readonly batches?: number;
    readonly itemsPerBatch?: number;
    readonly requestsPerMinute?: number;
    readonly freshnessMs?: number;
    readonly fronts?: number;
    readonly stores?: number;
    readonly controllers?: number;
    readonly tolerance?: number;
    readonly joining?: { readonly copies: number };
  };
  /** How long a batch may not be readable, where the brief's second is meant. */
  readonly takeoverMs?: number;
  /** How long an accepted batch item may take to its first start, where the scenario bounds it. */
  readonly itemStartMs?: number;
  readonly run: (run: SimRun) => Promise<void>;
}
