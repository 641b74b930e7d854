import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';

interface AbsencesOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly failureTimeoutMs: number;
}

/** For how many failure timeouts a machine may be absent before it counts as lost, by what membership last had of it. */
const toleratedTimeouts = { gone: 1, left: 2, unknown: 4 };

/** Since when each placed machine is missing among the live ones, by this leader's clock. */
export class Absences {
  readonly #options: AbsencesOptions;
  readonly #sinceMs = new Map<NodeName, number>();

  constructor(options: AbsencesOptions) {
    this.#options = options;
  }

  /** Forgets what was observed under an earlier term. */
  clear(): void {
    this.#sinceMs.clear();
  }

  /** Notes which of the placed machines are absent now. */
  observe(names: readonly NodeName[], nowMs: number): void {
    const { membership } = this.#options;
    for (const name of this.#sinceMs.keys()) if (!names.includes(name)) this.#sinceMs.delete(name);
    for (const name of names) {
      if (membership.nodeRecord(name) !== undefined) this.#sinceMs.delete(name);
      else if (!this.#sinceMs.has(name)) this.#sinceMs.set(name, nowMs);
    }
  }

  /** In how many ms the next absent machine counts as lost; undefined when none is waited for. */
  nextLossMs(): number | undefined {
    const waits = [...this.#sinceMs.keys()].map((name) => this.#toleratedMs(name) - this.#absentMs(name)).filter((waitMs) => waitMs > 0);
    return waits.length > 0 ? Math.min(...waits) : undefined;
  }

  /** Whether a machine has been absent for longer than is tolerated, so that its copies may be placed elsewhere. */
  isLost(name: NodeName): boolean {
    return this.#sinceMs.has(name) && this.#absentMs(name) >= this.#toleratedMs(name);
  }

  #absentMs(name: NodeName): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - (this.#sinceMs.get(name) ?? nowMs);
  }

  #toleratedMs(name: NodeName): number {
    const state = this.#options.membership.nodeRecords().find((nodeRecord) => nodeRecord.name === name)?.state;
    const timeouts = state === 'gone' || state === 'left' ? toleratedTimeouts[state] : toleratedTimeouts.unknown;
    return timeouts * this.#options.failureTimeoutMs;
  }
}
