/** Attempts that may be saved up. */
const maxAttempts = 10;

/** Retry budget (as in Finagle and Envoy): retries are at most a ratio of all requests, with a reserve for a proxy with little traffic. */
export class RetryBudget {
  #available = maxAttempts;

  /** Counts a request, which earns `ratio` of a retry. */
  requestBegun(ratio: number): void {
    this.#available = Math.min(maxAttempts, this.#available + ratio);
  }

  /** Spends one retry; false when there is none. */
  takeRetry(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }
}
