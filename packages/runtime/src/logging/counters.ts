/** Event counters of a process, by name, for its status page. Requests are counted, not logged. */
export class Counters {
  readonly #counts = new Map<string, number>();

  add(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
  }

  get(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  /** All counters that were added to, sorted by name. */
  all(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }
}
