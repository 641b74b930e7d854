/** The text of an item's events, kept over the runs that bring it: each event once, in order, with no gap. */
export class EventText {
  readonly #data: string[] = [];
  #last: number | undefined;
  #wrong = false;

  /** The id of the last event kept; a run that goes on begins after it. */
  get last(): number | undefined {
    return this.#last;
  }

  /** An event of this run was out of order; all from there on was left out. */
  get wrong(): boolean {
    return this.#wrong;
  }

  get text(): string {
    return this.#data.join('\n');
  }

  begin(): void {
    this.#wrong = false;
  }

  /** False when the event does not follow on what is kept. */
  add(id: string | undefined, data: string): boolean {
    const number = id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined;
    if (number === undefined || (this.#last !== undefined && number !== this.#last + 1)) this.#wrong = true;
    if (this.#wrong) return false;
    this.#last = number;
    this.#data.push(data);
    return true;
  }
}
