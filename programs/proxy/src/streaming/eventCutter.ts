const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** A whole event, its bytes unchanged, and its id where it has one. */
interface CutEvent {
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Cuts the bytes of a stream into whole events, at the blank lines. */
export class EventCutter {
  #held: Buffer = Buffer.alloc(0);
  /** Where the line being read begins, and how far it was looked through. */
  #line = 0;
  #seen = 0;
  #id: string | undefined;

  /** Bytes of an event that has not ended. */
  get held(): Buffer {
    return this.#held;
  }

  feed(chunk: Buffer): readonly CutEvent[] {
    const events: CutEvent[] = [];
    this.#held = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    let from = 0;
    for (;;) {
      const end = this.#held.indexOf(lineFeed, this.#seen);
      if (end < 0) break;
      const last = end > this.#line && this.#held[end - 1] === carriageReturn ? end - 1 : end;
      if (last === this.#line) {
        events.push({ bytes: this.#held.subarray(from, end + 1), id: this.#id });
        from = end + 1;
        this.#id = undefined;
      } else if (last - this.#line > 2 && this.#held.toString('latin1', this.#line, this.#line + 3) === 'id:') {
        this.#id = this.#held.toString('latin1', this.#line + 3, last).trim();
      }
      this.#line = end + 1;
      this.#seen = end + 1;
    }
    this.#held = this.#held.subarray(from);
    this.#line -= from;
    this.#seen = this.#held.length;
    return events;
  }
}
