import { ClockReading, FreshnessGrant } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import type { Configuration, NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import * as v from 'valibot';

interface FreshnessOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly clock: Clock;
}

/** This proxy's freshness lease: granted by the controllers, against a reading of this proxy's own monotonic clock. */
export class Freshness {
  readonly #options: FreshnessOptions;
  /** Clock reading from which the latest lease runs. */
  #freshFromMs = Number.NEGATIVE_INFINITY;
  /** Newest version of the configuration in any grant; none yet while infinite. */
  #newestVersion = Number.POSITIVE_INFINITY;

  constructor(options: FreshnessOptions) {
    this.#options = options;
  }

  /** A reading of this proxy's clock, to be answered by a grant. */
  clockReading(): ClockReading {
    return { instance: this.#options.instance, atMs: this.#options.clock.nowMs() };
  }

  /**
   * True while no later version can have been confirmed without this proxy, by the monotonic clock. With a configuration that is
   * `joining` a proxy without contact serves on: nothing can forbid that to a machine that receives nothing, and its callers have
   * no other. Only a version that is known to be older than another is not served.
   */
  isFresh(configuration: Configuration | undefined, version: number): boolean {
    if (configuration === undefined) return false;
    if (configuration.joining && this.#newestVersion === Number.POSITIVE_INFINITY) return true;
    if (version < this.#newestVersion) return false;
    if (configuration.joining) return true;
    return this.#options.clock.nowMs() - this.#freshFromMs <= configuration.bounds.freshnessMs;
  }

  /** Extends the lease by a grant, if the grant answers a reading of this instance's clock. */
  applyGrant(update: Update): void {
    const grant = v.safeParse(FreshnessGrant, update.value);
    if (!grant.success) return;
    const reading = v.safeParse(ClockReading, update.byNode?.[this.#options.front]);
    // An earlier instance took its readings from another clock.
    if (!reading.success || reading.output.instance !== this.#options.instance) return;
    this.#newestVersion = grant.output.version;
    this.#freshFromMs = Math.max(this.#freshFromMs, reading.output.atMs);
  }
}
