/** Fronts that were heard lately; times in ms by the counter's clock. */
export class ActiveFronts {
  readonly #heardMs = new Map<string, number>();

  heard(front: string, nowMs: number): void {
    this.#heardMs.set(front, nowMs);
  }

  /** Forgets fronts that were silent for longer than this. */
  removeSilent(failureTimeoutMs: number, nowMs: number): void {
    for (const [front, heardMs] of this.#heardMs) if (nowMs - heardMs > failureTimeoutMs) this.#heardMs.delete(front);
  }

  get count(): number {
    return this.#heardMs.size;
  }

  all(): ReadonlyMap<string, number> {
    return this.#heardMs;
  }
}
