/** Bounds of a shard. All its timing follows from the failure timeout. */
export interface ConsensusBounds {
  /** A leader that was not heard from for so long is taken to have failed, in milliseconds. */
  readonly failureTimeoutMs: number;
  /** The log is compacted and the file rewritten when the file is longer than this. */
  readonly compactBytes: number;
}
