/** The one bound of a shard, and what follows from it. */
export interface ConsensusBounds {
  /** A leader not heard from for so long is silent. */
  readonly failureTimeoutMs: number;
  /** The file is rewritten when it is longer than this. */
  readonly compactBytes: number;
}
