import type { Clock } from '@pewterlanding/runtime';
import type { Membership } from '@pewterlanding/membership';
import { updateKeys } from '@pewterlanding/agent';
import type { ClockReading } from '@pewterlanding/agent';

interface FrontWord {
  readonly version: number;
  readonly clockReading: ClockReading;
  readonly heardMs: number;
}

interface ConfigurationFreshnessOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly confirm: () => Promise<void>;
  readonly version: () => number;
  readonly freshnessMs: () => number;
  /** Under a joining setup freshness does not run out: fronts only need to hear which version is the newest. */
  readonly joining: () => boolean;
}

/** Where freshness does not run out, a new version is told in so many beats, and then once in so many. */
const newHeartbeats = 4;
const rareHeartbeats = 8;

/**
 * On the leader of the setup shard: lets fronts stay fresh, and knows when a version is in force.
 * A front counts its freshness from its own stamp, which is older than our hearing of it; so what lapses here has lapsed there.
 */
export class ConfigurationFreshness {
  readonly #options: ConfigurationFreshnessOptions;
  readonly #fronts = new Map<string, FrontWord>();
  #term: number | undefined;
  #sinceMs = 0;
  #count = 0;
  #beating = false;
  #toldVersion = -1;
  #sameHeartbeats = 0;

  constructor(options: ConfigurationFreshnessOptions) {
    this.#options = options;
  }

  own(term: number | undefined): void {
    this.#term = term;
    this.#sinceMs = this.#options.clock.nowMs();
    this.#count = 0;
    this.#toldVersion = -1;
    this.#fronts.clear();
  }

  held(front: string, version: number, clockReading: ClockReading): void {
    this.#fronts.set(front, { version, clockReading, heardMs: this.#options.clock.nowMs() });
  }

  /** Lets all fronts stay fresh that were heard before the epoch was made sure of. */
  async heartbeat(): Promise<void> {
    const term = this.#term;
    if (term === undefined || this.#beating || this.#mayRest()) return;
    this.#beating = true;
    try {
      const clockReadings = Object.fromEntries([...this.#fronts].map(([front, word]) => [front, word.clockReading]));
      await this.#options.confirm();
      if (this.#term !== term) return;
      this.#count += 1;
      const value = { version: this.#options.version() };
      this.#options.membership.put({ key: updateKeys.fresh, version: [term, this.#count], volatile: true, value, byNode: clockReadings });
    } finally {
      this.#beating = false;
    }
  }

  #mayRest(): boolean {
    const version = this.#options.version();
    this.#sameHeartbeats = version === this.#toldVersion ? this.#sameHeartbeats + 1 : 0;
    this.#toldVersion = version;
    return this.#options.joining() && this.#sameHeartbeats >= newHeartbeats && this.#sameHeartbeats % rareHeartbeats !== 0;
  }

  /** The same word for one front that the tree did not reach: its stamp was had before the epoch was made sure of. */
  async freshnessOf(front: string, version: number, clockReading: ClockReading) {
    const term = this.#term;
    this.held(front, version, clockReading);
    await this.#options.confirm();
    if (term === undefined || this.#term !== term) return undefined;
    this.#count += 1;
    return { term, count: this.#count, version: this.#options.version(), clockReading };
  }

  /** True when no front can still be carrying tasks by an older version. */
  inForce(version: number): boolean {
    const now = this.#options.clock.nowMs();
    const freshnessMs = this.#options.freshnessMs();
    for (const [front, word] of this.#fronts) if (now - word.heardMs > freshnessMs) this.#fronts.delete(front);
    // Fronts that only an earlier leader heard are fresh for so long at most.
    const known = now - this.#sinceMs > freshnessMs || this.#allLiveHeard();
    return known && [...this.#fronts.values()].every((word) => word.version >= version);
  }

  fronts(): readonly { readonly front: string; readonly version: number }[] {
    return [...this.#fronts].map(([front, { version }]) => ({ front, version }));
  }

  /** Soon after a takeover it is enough that every agent ever heard of, and not known to have left, was heard anew. */
  #allLiveHeard(): boolean {
    const agents = this.#options.membership
      .nodeRecords()
      .filter((nodeRecord) => nodeRecord.role === 'agent' && nodeRecord.state !== 'left');
    return agents.length > 0 && agents.every((nodeRecord) => this.#fronts.has(nodeRecord.name));
  }
}
