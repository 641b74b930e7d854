import type { QuotaRequest } from '@pewterlanding/agent';
import type { InFlightCounts } from '../selection/inFlightCounts.js';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { SlotPool } from '../selection/slotPool.js';

interface InFlightReportOptions {
  readonly inFlight: InFlightCounts;
  readonly slotPool: SlotPool;
  readonly selector: ReplicaSelector;
}

/** What this proxy reports of its tasks in flight, to the other proxies and to the quota counter. */
export class InFlightReport {
  readonly #options: InFlightReportOptions;

  constructor(options: InFlightReportOptions) {
    this.#options = options;
  }

  /** Tasks in flight, by replica address. */
  byReplica(): Record<string, number> {
    return Object.fromEntries(this.#options.inFlight.all());
  }

  /** Live tasks that run or wait, by service, over both the product's own and the opaque path. */
  liveTasks(): QuotaRequest['live'] {
    const { slotPool, selector } = this.#options;
    return slotPool.live().map((one) => ({ ...one, waiting: one.waiting + selector.waiting(one.service) }));
  }
}
