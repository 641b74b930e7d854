import type { Clock } from '@pewterlanding/runtime';
import type { Membership } from '@pewterlanding/membership';
import { updateKeys } from '@pewterlanding/agent';
import type { ClockReading } from '@pewterlanding/agent';

interface FrontReport {
  readonly version: number;
  readonly clockReading: ClockReading;
  readonly receivedMs: number;
}

interface ConfigurationFreshnessOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  /** Resolves once this machine has confirmed that it leads. */
  readonly confirm: () => Promise<void>;
  readonly version: () => number;
  readonly freshnessMs: () => number;
  /** Where machines join by announcing themselves freshness does not run out: fronts only need to learn the newest version. */
  readonly joining: () => boolean;
}

/** Where freshness does not run out, the first heartbeats of a version are all sent, and after them one of every few. */
const minHeartbeatsPerVersion = 4;
const heartbeatsPerRepeat = 8;

/**
 * On the leader of the configuration shard: extends the freshness of fronts, and tells when a version is in force.
 * A front counts its freshness from the clock reading in its report, which is older than the receipt of the report here; so a
 * front whose freshness has run out here has stopped forwarding.
 */
export class ConfigurationFreshness {
  readonly #options: ConfigurationFreshnessOptions;
  readonly #fronts = new Map<string, FrontReport>();
  #term: number | undefined;
  #sinceMs = 0;
  #count = 0;
  #sending = false;
  #sentVersion = -1;
  #sameHeartbeats = 0;

  constructor(options: ConfigurationFreshnessOptions) {
    this.#options = options;
  }

  /** Leadership changed: `term` where this machine leads now. Reports to an earlier leader are unknown here. */
  own(term: number | undefined): void {
    this.#term = term;
    this.#sinceMs = this.#options.clock.nowMs();
    this.#count = 0;
    this.#sentVersion = -1;
    this.#fronts.clear();
  }

  /** A front reported the version that it holds. */
  report(front: string, version: number, clockReading: ClockReading): void {
    this.#fronts.set(front, { version, clockReading, receivedMs: this.#options.clock.nowMs() });
  }

  /** Extends the freshness of all fronts that had reported before leadership was confirmed. Rejects where it cannot be. */
  async heartbeat(): Promise<void> {
    const term = this.#term;
    if (term === undefined || this.#sending || this.#mayRest()) return;
    this.#sending = true;
    try {
      const clockReadings = Object.fromEntries([...this.#fronts].map(([front, report]) => [front, report.clockReading]));
      await this.#options.confirm();
      if (this.#term !== term) return;
      this.#count += 1;
      const value = { version: this.#options.version() };
      this.#options.membership.put({ key: updateKeys.fresh, version: [term, this.#count], volatile: true, value, byNode: clockReadings });
    } finally {
      this.#sending = false;
    }
  }

  #mayRest(): boolean {
    const version = this.#options.version();
    this.#sameHeartbeats = version === this.#sentVersion ? this.#sameHeartbeats + 1 : 0;
    this.#sentVersion = version;
    return this.#options.joining() && this.#sameHeartbeats >= minHeartbeatsPerVersion && this.#sameHeartbeats % heartbeatsPerRepeat !== 0;
  }

  /** The same for one front that the broadcast did not reach; undefined where this machine does not lead. */
  async freshnessOf(front: string, version: number, clockReading: ClockReading) {
    const term = this.#term;
    this.report(front, version, clockReading);
    await this.#options.confirm();
    if (term === undefined || this.#term !== term) return undefined;
    this.#count += 1;
    return { term, count: this.#count, version: this.#options.version(), clockReading };
  }

  /** True when no front can still be forwarding tasks by an older version. */
  inForce(version: number): boolean {
    const now = this.#options.clock.nowMs();
    const freshnessMs = this.#options.freshnessMs();
    for (const [front, report] of this.#fronts) if (now - report.receivedMs > freshnessMs) this.#fronts.delete(front);
    // Fronts that reported only to an earlier leader stay fresh for at most this long.
    const known = now - this.#sinceMs > freshnessMs || this.#allLiveReported();
    return known && [...this.#fronts.values()].every((report) => report.version >= version);
  }

  /** The version that each front reported last. */
  fronts(): readonly { readonly front: string; readonly version: number }[] {
    return [...this.#fronts].map(([front, { version }]) => ({ front, version }));
  }

  /** Soon after an election it is enough that every known agent that has not left has reported to this leader. */
  #allLiveReported(): boolean {
    const agents = this.#options.membership
      .nodeRecords()
      .filter((nodeRecord) => nodeRecord.role === 'agent' && nodeRecord.state !== 'left');
    return agents.length > 0 && agents.every((nodeRecord) => this.#fronts.has(nodeRecord.name));
  }
}
