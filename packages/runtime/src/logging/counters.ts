/** Counts of what happened, by name; the first thing to look at, before any log line. */
export class Counters {
  readonly #counts = new Map<string, number>();

  add(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
  }

  get(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  all(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }
}
