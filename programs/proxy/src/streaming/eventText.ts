const eventIdPattern = /^\d{1,15}$/;

/** The events of a batch item, collected over the attempts that bring them: each event once, in order, without a gap. */
export class EventText {
  readonly #data: string[] = [];
  #last: number | undefined;
  #wrong = false;

  /** Id of the last event collected; an attempt that resumes begins after it. */
  get last(): number | undefined {
    return this.#last;
  }

  /** Whether an event of this attempt was out of order; it and all later ones were left out. */
  get wrong(): boolean {
    return this.#wrong;
  }

  /** The data of all events, one line or more each. */
  get text(): string {
    return this.#data.join('\n');
  }

  /** Call at the beginning of each attempt. */
  begin(): void {
    this.#wrong = false;
  }

  /** False when the event does not follow the last one. */
  add(id: string | undefined, data: string): boolean {
    const number = id !== undefined && eventIdPattern.test(id) ? Number(id) : undefined;
    const isNext = number !== undefined && (this.#last === undefined || number === this.#last + 1);
    if (!isNext) this.#wrong = true;
    if (this.#wrong) return false;
    this.#last = number;
    this.#data.push(data);
    return true;
  }
}
