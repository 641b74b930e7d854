import { createParser } from 'eventsource-parser';
import type { ReplicaTask, RunEnd } from '../connections/index.js';
import type { InspectedReader } from './inspectedReader.js';

/** Reads the streamed response to an inspected request: events numbered from 0 without a gap, then a `close` event. */
export class StreamReader implements InspectedReader {
  readonly #task: ReplicaTask;
  readonly #decoder = new TextDecoder('utf-8', { fatal: true });
  readonly #parser: ReturnType<typeof createParser>;
  #nextId = 0;
  #isClosed = false;
  #fault: string | undefined;
  bytes = 0;

  /** `piece` gets the data of each event. */
  constructor(task: ReplicaTask, piece: (data: string) => void) {
    this.#task = task;
    this.#parser = createParser({ onEvent: ({ event, id, data }) => this.#read(event, id, data, piece) });
  }

  feed(chunk: Buffer): string | undefined {
    this.bytes += chunk.length;
    if (this.bytes > this.#task.rule.maxReturnBytes) return 'the return is too large';
    try {
      this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    } catch {
      return 'the stream is no text';
    }
    return this.#fault;
  }

  end(): RunEnd {
    const { bytes } = this;
    if (!this.#isClosed) return { kind: 'broken', reason: 'the stream ended without its close', bytes };
    return { kind: 'done', body: '', bytes };
  }

  #read(event: string | undefined, id: string | undefined, data: string, piece: (data: string) => void): void {
    if (this.#fault !== undefined) return;
    if (this.#isClosed) this.#fault = 'the stream went on after its close';
    else if (event === 'close') this.#isClosed = true;
    else if (event !== undefined || id !== String(this.#nextId)) this.#fault = 'a piece is out of order';
    else {
      this.#nextId += 1;
      piece(data);
    }
  }
}
