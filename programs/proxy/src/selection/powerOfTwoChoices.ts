import type { ReplicaRow } from '../routing/replicaRow.js';

interface PowerOfTwoChoicesOptions {
  readonly random: () => number;
  /** The proxy's own zone. */
  readonly zone: string;
  /** Load added to replicas of other zones: how much less loaded one must be to be chosen. */
  readonly otherZoneLoad: number;
  /** Whether the second draw excludes the first candidate. Independent draws may compare a candidate with itself. */
  readonly distinct: boolean;
}

/**
 * Load balancing by the power of two choices (Mitzenmacher): two candidates at random, and the less loaded of them. Taking the least
 * loaded of all would send every proxy to the same replica until load reports are exchanged again.
 */
export class PowerOfTwoChoices {
  readonly #options: PowerOfTwoChoicesOptions;

  constructor(options: PowerOfTwoChoicesOptions) {
    this.#options = options;
  }

  /** Undefined without candidates. `loadOf` is the occupancy, where 1 is all slots in use. */
  choose(candidates: readonly ReplicaRow[], loadOf: (row: ReplicaRow) => number): ReplicaRow | undefined {
    const firstIndex = this.#draw(candidates.length);
    const first = candidates[firstIndex];
    const second = candidates[this.#secondIndex(firstIndex, candidates.length)];
    if (first === undefined || second === undefined) return undefined;
    const zonedLoadOf = (row: ReplicaRow): number => loadOf(row) + this.#zoneLoad(row);
    return zonedLoadOf(second) < zonedLoadOf(first) ? second : first;
  }

  #secondIndex(firstIndex: number, count: number): number {
    if (!this.#options.distinct) return this.#draw(count);
    if (count < 2) return firstIndex;
    return (firstIndex + 1 + this.#draw(count - 1)) % count;
  }

  #draw(count: number): number {
    return Math.floor(this.#options.random() * count);
  }

  /** A replica that announces no zone counts as local. */
  #zoneLoad({ replica }: ReplicaRow): number {
    return replica.zone === undefined || replica.zone === this.#options.zone ? 0 : this.#options.otherZoneLoad;
  }
}
