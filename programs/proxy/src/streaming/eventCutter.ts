const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = 'id:';

interface CutEvent {
  /** The event's bytes, unchanged, with the blank line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

/** Splits a stream of server-sent events into complete events, at their blank lines. Lines end with LF or CRLF. */
export class EventCutter {
  #pending: Buffer = Buffer.alloc(0);
  /** Where the current line begins in the pending bytes. */
  #lineStart = 0;
  /** Up to where the pending bytes were searched. */
  #searched = 0;
  #id: string | undefined;

  /** Bytes of an event that is not complete. */
  get incomplete(): Buffer {
    return this.#pending;
  }

  /** Takes the next bytes; returns the events that they complete. */
  feed(chunk: Buffer): readonly CutEvent[] {
    const events: CutEvent[] = [];
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    let eventStart = 0;
    for (;;) {
      const lineEnd = this.#pending.indexOf(lineFeed, this.#searched);
      if (lineEnd < 0) break;
      if (this.#readLine(lineEnd) === 'blank') {
        events.push({ bytes: this.#pending.subarray(eventStart, lineEnd + 1), id: this.#id });
        eventStart = lineEnd + 1;
        this.#id = undefined;
      }
      this.#lineStart = lineEnd + 1;
      this.#searched = lineEnd + 1;
    }
    this.#pending = this.#pending.subarray(eventStart);
    this.#lineStart -= eventStart;
    this.#searched = this.#pending.length;
    return events;
  }

  /** Reads the line from `#lineStart` to the line feed at `lineEnd`, and keeps its id if it has one. */
  #readLine(lineEnd: number): 'blank' | 'field' {
    const start = this.#lineStart;
    const hasReturn = lineEnd > start && this.#pending[lineEnd - 1] === carriageReturn;
    const end = hasReturn ? lineEnd - 1 : lineEnd;
    if (end === start) return 'blank';
    const valueStart = start + idField.length;
    if (end >= valueStart && this.#pending.toString('latin1', start, valueStart) === idField)
      this.#id = this.#pending.toString('latin1', valueStart, end).trim();
    return 'field';
  }
}
