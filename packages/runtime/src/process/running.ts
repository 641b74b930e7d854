/** A started program. */
export interface Running {
  /** Shuts down gracefully: completes requests in flight, for at most `graceMs` milliseconds. */
  readonly leave: (graceMs: number) => Promise<void>;
}
