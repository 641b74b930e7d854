import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { SingletonRole } from '@pewterlanding/agent';

interface RoleLeaseGrantorOptions {
  readonly clock: Clock;
  /** How long a holder acts on its last renewal, by its own clock. */
  readonly leaseMs: number;
  /** How long the successor that a holder hands its balances to goes before all others. */
  readonly handoverMs: number;
}

/** Two monotonic clocks may run apart by this part of a lease before it could be granted while its holder still acts on it. */
const driftRatio = 1 / 32;

/** On the leader of the configuration shard: how long each role's lease may still be acted on, and so when it may be granted anew. */
export class RoleLeaseGrantor {
  readonly #options: RoleLeaseGrantorOptions;
  readonly #renewedMs = new Map<string, number>();
  readonly #releasedMs = new Map<string, number>();
  #leadingSinceMs = 0;

  constructor(options: RoleLeaseGrantorOptions) {
    this.#options = options;
  }

  /** This node begins to lead: an earlier leader may have renewed any lease just before. */
  lead(): void {
    this.#leadingSinceMs = this.#options.clock.nowMs();
    this.#renewedMs.clear();
    this.#releasedMs.clear();
  }

  renewed(role: string): void {
    this.#renewedMs.set(role, this.#options.clock.nowMs());
    this.#releasedMs.delete(role);
  }

  released(role: string): void {
    this.#releasedMs.set(role, this.#options.clock.nowMs());
  }

  /** Whether a claimant may have the role now. A holder that began anew under its name acts on nothing from before. */
  free(role: string, held: SingletonRole | undefined, claimant: NodeName): boolean {
    return held === undefined || held.holder === claimant || this.#releasedMs.has(role) || this.#lapsed(role);
  }

  /** Whether the role is to be offered: nobody may act under it, and nobody is about to take it over politely. */
  vacant(role: string, held: SingletonRole | undefined): boolean {
    if (held === undefined) return true;
    const releasedMs = this.#releasedMs.get(role);
    if (releasedMs !== undefined) return this.#options.clock.nowMs() - releasedMs > this.#options.handoverMs;
    return this.#lapsed(role);
  }

  #lapsed(role: string): boolean {
    const { clock, leaseMs } = this.#options;
    const sinceMs = this.#renewedMs.get(role) ?? this.#leadingSinceMs;
    return clock.nowMs() - sinceMs > leaseMs * (1 + driftRatio);
  }
}
