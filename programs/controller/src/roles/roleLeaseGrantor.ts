import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { SingletonRole } from '@pewterlanding/agent';

interface RoleLeaseGrantorOptions {
  readonly clock: Clock;
  /** How long a holder acts on its last renewal, by its own clock. */
  readonly leaseMs: number;
  /** How long the successor that a holder hands its balances to precedes all other candidates. */
  readonly handoverMs: number;
}

/** The drift allowed between the monotonic clocks of holder and grantor, as a part of a lease. */
const driftRatio = 1 / 32;

/**
 * On the leader of the configuration shard: how long the holder of each role may still act on its lease, and so when the role may
 * be granted again. Renewals are kept in memory alone: a new leader waits for a whole lease.
 */
export class RoleLeaseGrantor {
  readonly #options: RoleLeaseGrantorOptions;
  readonly #renewedMs = new Map<string, number>();
  readonly #releasedMs = new Map<string, number>();
  #leadingSinceMs = 0;

  constructor(options: RoleLeaseGrantorOptions) {
    this.#options = options;
  }

  /** To be called when this node becomes the leader: its predecessor may have renewed any lease just before. */
  lead(): void {
    this.#leadingSinceMs = this.#options.clock.nowMs();
    this.#renewedMs.clear();
    this.#releasedMs.clear();
  }

  /** The holder may act for a whole lease from now on. */
  recordRenewal(role: string): void {
    this.#renewedMs.set(role, this.#options.clock.nowMs());
    this.#releasedMs.delete(role);
  }

  /** The holder has stopped acting on its lease. */
  recordRelease(role: string): void {
    this.#releasedMs.set(role, this.#options.clock.nowMs());
  }

  /** Whether a claimant may get the role now. A holder that restarted under its name does not act on its earlier lease. */
  mayGrant(role: string, held: SingletonRole | undefined, claimant: NodeName): boolean {
    return held === undefined || held.holder === claimant || this.#releasedMs.has(role) || this.#lapsed(role);
  }

  /** Whether the role is to be offered: nobody may act under it, and no handover to a successor is under way. */
  isVacant(role: string, held: SingletonRole | undefined): boolean {
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
