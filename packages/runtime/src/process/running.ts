/** A started program. */
export interface Running {
  /** Shuts down gracefully: completes what it is doing, for at most `graceMs` milliseconds. */
  readonly leave: (graceMs: number) => Promise<void>;
}
