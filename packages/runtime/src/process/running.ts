/** A program that has started. */
export interface Running {
  /** Ends politely within the grace. */
  readonly leave: (graceMs: number) => Promise<void>;
}
