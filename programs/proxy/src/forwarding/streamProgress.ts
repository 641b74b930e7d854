const eventIdPattern = /^\d{1,15}$/;

/** How much of a stream was passed on to the client, over all attempts. */
export class StreamProgress {
  #isBegun = false;
  #lastId: number | undefined;
  #maxStep: number;

  /** `lastId` is the last event that the client has already; `step` the largest difference of ids to expect, in tokens. */
  constructor(lastId: number | undefined, step: number) {
    this.#lastId = lastId;
    this.#maxStep = step;
  }

  /** Whether the response's head was passed on. */
  get isBegun(): boolean {
    return this.#isBegun;
  }

  /** Id of the last event that the client has; undefined where events have no ids. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  begin(): void {
    this.#isBegun = true;
  }

  /**
   * Counts an event; false when it is out of order. Ids rise. One event may cover several tokens, so gaps occur, but the first event of an
   * attempt that resumes the stream may not be further from the last one than the steps seen so far.
   */
  accept(id: string | undefined, isFirstOfAttempt: boolean): boolean {
    const current = parseEventId(id);
    if (current === undefined) return true;
    const last = this.#lastId;
    if (last !== undefined) {
      const isResumed = isFirstOfAttempt && (this.#isBegun || last > 0);
      if (current <= last || (isResumed && current - last > this.#maxStep)) return false;
      if (this.#isBegun) this.#maxStep = Math.max(this.#maxStep, current - last);
    }
    this.#lastId = current;
    return true;
  }
}

function parseEventId(id: string | undefined): number | undefined {
  return id !== undefined && eventIdPattern.test(id) ? Number(id) : undefined;
}
