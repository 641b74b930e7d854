/** Identifies a value in a Slab: the slot, and how many values the slot held before this one. */
export interface SlabKey {
  readonly slot: number;
  readonly generation: number;
}
