import type { NodePlaces } from '../hashing/index.js';

/** All nodes on a ring ordered by the hash of their names: each is watched by the few that follow it. */
export class Ring<N extends string> {
  readonly #ring: readonly N[];
  readonly #positions: ReadonlyMap<N, number>;
  readonly #watcherCount: number;

  constructor(names: readonly N[], watcherCount: number, places: NodePlaces) {
    this.#ring = [...names].sort((a, b) => places.ring(a) - places.ring(b) || (a < b ? -1 : 1));
    this.#positions = new Map(this.#ring.map((name, position) => [name, position]));
    this.#watcherCount = Math.min(watcherCount, names.length - 1);
  }

  /** The nodes that watch a node. */
  watchers(name: N): readonly N[] {
    return this.#neighbours(name, 1);
  }

  /** The nodes that a node watches. */
  watchedBy(name: N): readonly N[] {
    return this.#neighbours(name, -1);
  }

  #neighbours(name: N, direction: 1 | -1): readonly N[] {
    const position = this.#positions.get(name);
    if (position === undefined) return [];
    const size = this.#ring.length;
    return Array.from({ length: this.#watcherCount }, (_, step) => (position + direction * (step + 1) + size) % size).flatMap(
      (index) => this.#ring[index] ?? [],
    );
  }
}
