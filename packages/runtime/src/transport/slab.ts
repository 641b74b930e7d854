import type { SlabKey } from './slabKey.js';

interface Slot<T> {
  generation: number;
  value: T | undefined;
}

/**
 * Values in numbered slots that are used again once they are free. A key holds the slot's generation, so that the key of a value that
 * was taken out never finds the slot's next value: a late response reaches no other request.
 */
export class Slab<T> {
  readonly #slots: Slot<T>[] = [];
  readonly #free: number[] = [];
  #size = 0;

  /** How many values are stored now. */
  get size(): number {
    return this.#size;
  }

  /** Stores a value and returns the key that takes it out. */
  put(value: T): SlabKey {
    const index = this.#free.pop() ?? this.#slots.length;
    const slot = this.#slots[index] ?? { generation: 0, value: undefined };
    this.#slots[index] = slot;
    slot.value = value;
    this.#size += 1;
    return { slot: index, generation: slot.generation };
  }

  /** Takes the value out; undefined when it was taken out before. */
  take(key: SlabKey): T | undefined {
    const slot = this.#slots[key.slot];
    if (slot === undefined || slot.generation !== key.generation || slot.value === undefined) return undefined;
    const value = slot.value;
    slot.value = undefined;
    slot.generation += 1;
    this.#free.push(key.slot);
    this.#size -= 1;
    return value;
  }

  /** Takes out all values that match, in the order of their slots. */
  takeWhere(matches: (value: T) => boolean): readonly T[] {
    const taken: T[] = [];
    this.#slots.forEach((slot, index) => {
      if (slot.value === undefined || !matches(slot.value)) return;
      const value = this.take({ slot: index, generation: slot.generation });
      if (value !== undefined) taken.push(value);
    });
    return taken;
  }
}
