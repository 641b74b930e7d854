/** The average covers about this many intervals. */
const smoothingCount = 16;

/** Exponentially weighted moving average of the time between events, in milliseconds. */
export class IntervalAverage {
  #lastMs: number | undefined;
  #averageMs = 0;

  /** With `startMs` the first event ends an interval; without it the first event only starts one. */
  constructor(startMs?: number) {
    this.#lastMs = startMs;
  }

  get averageMs(): number {
    return this.#averageMs;
  }

  add(nowMs: number): void {
    if (this.#lastMs !== undefined) this.#averageMs = this.#averageMs * (1 - 1 / smoothingCount) + (nowMs - this.#lastMs) / smoothingCount;
    this.#lastMs = nowMs;
  }

  /** The longer of the average and the share of a current interval that lasts since the last event. */
  atLeastSince(nowMs: number): number {
    return Math.max(this.#averageMs, (nowMs - (this.#lastMs ?? nowMs)) / smoothingCount);
  }
}
