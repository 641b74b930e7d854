/**
 * Results of applied commands by id, so that a command that is sent again has no second effect. The bound is a number of commands, not a
 * time: all members drop the same ones.
 */
export class DeduplicationTable {
  readonly #limit: number;
  readonly #results = new Map<string, unknown>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Whether the result of that command is known. */
  has(id: string): boolean {
    return this.#results.has(id);
  }

  /** A command's result; undefined also where it is not known. */
  get(id: string): unknown {
    return this.#results.get(id);
  }

  /** Adds a result, and drops the oldest beyond the limit. */
  put(id: string, result: unknown): void {
    this.#results.set(id, result);
    if (this.#results.size <= this.#limit) return;
    const oldest = this.#results.keys().next();
    if (oldest.done !== true) this.#results.delete(oldest.value);
  }

  /** All ids with their results, oldest first, as a snapshot holds them. */
  all(): [string, unknown][] {
    return [...this.#results];
  }

  /** Replaces all results, as `all` returned them. */
  restore(all: readonly (readonly [string, unknown])[]): void {
    this.#results.clear();
    for (const [id, result] of all) this.#results.set(id, result);
  }
}
