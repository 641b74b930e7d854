/** Source of time and timers; a simulation supplies its own. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start, for durations. */
  nowMs(): number;
  /** Milliseconds since 1970 (Unix time); may jump. */
  wallMs(): number;
  /** Calls `run` once after `waitMs` milliseconds; the returned function cancels that. */
  after(waitMs: number, run: () => void): () => void;
}
