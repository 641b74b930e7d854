/** Commands that had their effect, so that one sent again has none. The bound is counted in commands: all members forget alike. */
export class DeduplicationTable {
  readonly #limit: number;
  readonly #returns = new Map<string, unknown>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  has(id: string): boolean {
    return this.#returns.has(id);
  }

  get(id: string): unknown {
    return this.#returns.get(id);
  }

  put(id: string, result: unknown): void {
    this.#returns.set(id, result);
    if (this.#returns.size <= this.#limit) return;
    const oldest = this.#returns.keys().next();
    if (oldest.done !== true) this.#returns.delete(oldest.value);
  }

  all(): [string, unknown][] {
    return [...this.#returns];
  }

  restore(all: readonly (readonly [string, unknown])[]): void {
    this.#returns.clear();
    for (const [id, result] of all) this.#returns.set(id, result);
  }
}
