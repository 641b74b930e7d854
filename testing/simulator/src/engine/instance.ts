/** One instance of a process. What belongs to a dead one does nothing any more. */
export class Instance {
  #dead = false;
  readonly #ends: (() => void)[] = [];

  get dead(): boolean {
    return this.#dead;
  }

  onEnd(run: () => void): void {
    this.#ends.push(run);
  }

  end(): void {
    this.#dead = true;
    for (const run of this.#ends) run();
  }
}
