import type { NodeName } from '@pewterlanding/model';
import type { PlacedMachine } from './placedMachine.js';

/** The machines on which a shard's next member can be placed, in order of preference, spread over zones. */
export class Candidates {
  readonly #names: readonly NodeName[];
  readonly #machines: ReadonlyMap<NodeName, PlacedMachine>;

  constructor(names: readonly NodeName[], machines: ReadonlyMap<NodeName, PlacedMachine>) {
    this.#names = names;
    this.#machines = machines;
  }

  get count(): number {
    return this.#names.length;
  }

  /** The first candidate from the zone that has the fewest of these members, the excluded machine apart. */
  next(members: readonly NodeName[], excluded?: NodeName): NodeName | undefined {
    let best: NodeName | undefined;
    for (const name of this.#names) {
      if (members.includes(name) || name === excluded) continue;
      if (best === undefined || this.membersInZoneOf(name, members) < this.membersInZoneOf(best, members)) best = name;
    }
    return best;
  }

  /** How many of these members are in a machine's zone. */
  membersInZoneOf(name: NodeName, members: readonly NodeName[]): number {
    const zone = this.#zoneOf(name);
    return members.filter((member) => this.#zoneOf(member) === zone).length;
  }

  #zoneOf(name: NodeName): string {
    return this.#machines.get(name)?.zone ?? '';
  }
}
