/** How one direction between two machines behaves. */
export interface Link {
  /** `stall` holds the bytes back until it passes again, as a cut network does; `drop` breaks the circuit off. */
  readonly kind: 'pass' | 'stall' | 'drop';
  readonly delayMs: number;
}
