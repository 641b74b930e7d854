import type { SlabKey } from './slabKey.js';

interface Slot<T> {
  generation: number;
  held: T | undefined;
}

/** Holds what waits for a return. A key carries the slot's generation, so a late return finds nothing. */
export class Slab<T> {
  readonly #slots: Slot<T>[] = [];
  readonly #free: number[] = [];
  #size = 0;

  get size(): number {
    return this.#size;
  }

  put(held: T): SlabKey {
    const slot = this.#free.pop() ?? this.#slots.push({ generation: 0, held: undefined }) - 1;
    const place = this.#slots[slot] ?? { generation: 0, held: undefined };
    this.#slots[slot] = place;
    place.held = held;
    this.#size += 1;
    return { slot, generation: place.generation };
  }

  take(key: SlabKey): T | undefined {
    const place = this.#slots[key.slot];
    if (place === undefined || place.generation !== key.generation || place.held === undefined) return undefined;
    const held = place.held;
    place.held = undefined;
    place.generation += 1;
    this.#free.push(key.slot);
    this.#size -= 1;
    return held;
  }

  /** Takes out everything that matches, for when none of it can come any more. */
  takeWhere(matches: (held: T) => boolean): readonly T[] {
    const taken: T[] = [];
    this.#slots.forEach((place, slot) => {
      if (place.held === undefined || !matches(place.held)) return;
      const held = this.take({ slot, generation: place.generation });
      if (held !== undefined) taken.push(held);
    });
    return taken;
  }
}
