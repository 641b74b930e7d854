import type { Configuration, VersionedConfiguration } from '@pewterlanding/model';
import { entriesOf } from '@pewterlanding/model';
import type { Membership } from '@pewterlanding/membership';
import type { CounterRules } from '@pewterlanding/rate-limit';
import { Counter, fleetCeiling, QuotaTree } from '@pewterlanding/rate-limit';
import type { Clock } from '@pewterlanding/runtime';
import type { ReplicaPool } from './replicaPool.js';
import { replicaPools } from './replicaPools.js';

interface ConfiguredCounterOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly failureTimeoutMs: number;
}

/** A ceiling that is computed from the slots is computed anew when a service's slots have changed by more than this part. */
const slotsChangeRatio = 0.1;
/** A front's fixed slice is withheld before the front, after a failure timeout without the counter, begins to spend it. */
const frontSilenceRatio = 0.75;

/** The counter of the quotas, kept in step with the configuration in force and, where the ceiling depends on them, with the slots. */
export class ConfiguredCounter {
  readonly #options: ConfiguredCounterOptions;
  #counter: Counter | undefined;
  #applied: Configuration | undefined;
  #appliedSlots: ReadonlyMap<string, number> = new Map();

  constructor(options: ConfiguredCounterOptions) {
    this.#options = options;
  }

  /** Undefined until this node has a configuration. */
  get counter(): Counter | undefined {
    return this.#counter;
  }

  /** Applies a new configuration; with `pools`, also slots that have changed by more than a little. */
  refresh(pools?: ReadonlyMap<string, ReplicaPool>): void {
    const configuration = this.#options.configuration()?.configuration;
    if (configuration === undefined) return;
    const followsSlots = pools !== undefined && configuration.ceiling === undefined;
    const slotsChanged = followsSlots && this.#slotsChanged(pools);
    if (configuration === this.#applied && !slotsChanged) return;
    this.#applied = configuration;
    const presentPools = pools ?? replicaPools(this.#options.membership);
    this.#appliedSlots = new Map([...presentPools].map(([service, pool]) => [service, pool.slots]));
    const nowMs = this.#options.clock.nowMs();
    const rules = this.#rulesOf(configuration);
    if (this.#counter === undefined) this.#counter = new Counter(rules, nowMs);
    else this.#counter.reshape(rules, nowMs);
  }

  #rulesOf(configuration: Configuration): CounterRules {
    const { waitingRatio, liveRatio, fallbackRatio, fronts } = configuration.bounds;
    const tree = new QuotaTree(new Map(entriesOf(configuration.quotas)));
    const ceiling = fleetCeiling(configuration, this.#appliedSlots);
    const frontSilenceMs = this.#options.failureTimeoutMs * frontSilenceRatio;
    return { ceiling, tree, waitingRatio, liveRatio, fallbackRatio, fronts, frontSilenceMs };
  }

  #slotsChanged(pools: ReadonlyMap<string, ReplicaPool>): boolean {
    const services = new Set([...pools.keys(), ...this.#appliedSlots.keys()]);
    return [...services].some((service) => {
      const before = this.#appliedSlots.get(service) ?? 0;
      const change = Math.abs((pools.get(service)?.slots ?? 0) - before);
      return change > before * slotsChangeRatio;
    });
  }
}
