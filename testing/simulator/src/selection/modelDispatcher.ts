import { batchCapacity } from '@pewterlanding/controller';
import type { Configuration, ServiceName } from '@pewterlanding/model';
import type { ModelFront } from './modelFront.js';

interface ModelItem {
  readonly queuedAtMs: number;
  readonly dueAtMs: number;
}

interface ModelDispatcherOptions {
  readonly service: ServiceName;
  readonly fronts: readonly ModelFront[];
  readonly configuration: Configuration;
  readonly slots: number;
  readonly replicas: number;
  readonly isStaffed: boolean;
  readonly nowMs: () => number;
  /** Runs an item at a front; resolves to whether it ran. */
  readonly run: (front: ModelFront, item: ModelItem) => Promise<boolean>;
}

/** The dispatcher's decisions, by its shipped functions: how many items are in flight, at which fronts, and on which replicas. */
export class ModelDispatcher {
  readonly #options: ModelDispatcherOptions;
  #waiting: ModelItem[] = [];
  #inFlight = 0;
  #live = 0;

  constructor(options: ModelDispatcherOptions) {
    this.#options = options;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  add(items: readonly ModelItem[]): void {
    this.#waiting.push(...items);
    this.#waiting.sort((a, b) => a.dueAtMs - b.dueAtMs);
  }

  /** Takes the fronts' reports of live requests. */
  exchange(): void {
    const { service, fronts } = this.#options;
    this.#live = fronts.reduce((sum, { inFlight, selector }) => {
      const running = [...inFlight.all().keys()].reduce((count, address) => count + inFlight.liveAt(address), 0);
      return sum + running + selector.waiting(service);
    }, 0);
  }

  tick(): void {
    const { configuration, slots, replicas, isStaffed, nowMs } = this.#options;
    const bounds = { ...configuration.bounds, batchConcurrencyLimit: slots };
    const waitedRatio = Math.max(0, ...this.#waiting.map((item) => (nowMs() - item.queuedAtMs) / (item.dueAtMs - item.queuedAtMs)));
    // Without replicas there are no fluctuations of each: what is left is the live reserve.
    const demand = { slots, replicas: isStaffed ? replicas : 0, live: this.#live, waitedRatio };
    const count = batchCapacity(demand, this.#inFlight, bounds);
    for (const item of this.#waiting.splice(0, count)) void this.#lease(item);
  }

  async #lease(item: ModelItem): Promise<void> {
    const front = this.#options.fronts.reduce((best, next) => (next.leases < best.leases ? next : best));
    this.#inFlight += 1;
    front.leases += 1;
    const ran = await this.#options.run(front, item);
    this.#inFlight -= 1;
    front.leases -= 1;
    if (!ran) this.add([item]);
  }
}
