import type { NodePlaces } from '../nodePlaces.js';

/** All nodes on a ring by hash of the name: each is watched by its next few. */
export class Ring<N extends string> {
  readonly #ring: readonly N[];
  readonly #at: ReadonlyMap<N, number>;
  readonly #few: number;

  constructor(names: readonly N[], few: number, places: NodePlaces) {
    this.#ring = [...names].sort((a, b) => places.ring(a) - places.ring(b) || (a < b ? -1 : 1));
    this.#at = new Map(this.#ring.map((name, position) => [name, position]));
    this.#few = Math.min(few, names.length - 1);
  }

  watchers(name: N): readonly N[] {
    return this.#near(name, 1);
  }

  /** Those whom a node watches. */
  charges(name: N): readonly N[] {
    return this.#near(name, -1);
  }

  #near(name: N, way: 1 | -1): readonly N[] {
    const at = this.#at.get(name);
    if (at === undefined) return [];
    const size = this.#ring.length;
    return Array.from({ length: this.#few }, (_, step) => (at + way * (step + 1) + size) % size).flatMap(
      (position) => this.#ring[position] ?? [],
    );
  }
}
