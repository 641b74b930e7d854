/** Tries beyond the first may be so large a shard of all tasks, with a few in hand for a quiet front. */
export class RetryBudget {
  readonly #limit = 10;
  #left = 10;

  task(ratio: number): void {
    this.#left = Math.min(this.#limit, this.#left + ratio);
  }

  take(): boolean {
    if (this.#left < 1) return false;
    this.#left -= 1;
    return true;
  }
}
