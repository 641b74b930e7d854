/** Where a continuation waits: the slot, and how often the slot had been used before. */
export interface SlabKey {
  readonly slot: number;
  readonly generation: number;
}
