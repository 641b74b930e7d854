import { createParser } from 'eventsource-parser';
import type { ReplicaTask } from '../connections/replicaTask.js';
import type { RunEnd } from '../connections/runEnd.js';

/** Reads the events of a streamed return of an inspected task: numbered from 0 without a gap, then a close. */
export class StreamReader {
  readonly #task: ReplicaTask;
  readonly #decoder = new TextDecoder('utf-8', { fatal: true });
  readonly #parser: ReturnType<typeof createParser>;
  #next = 0;
  #closed = false;
  #wrong: string | undefined;
  bytes = 0;

  constructor(task: ReplicaTask, piece: (data: string) => void) {
    this.#task = task;
    this.#parser = createParser({ onEvent: ({ event, id, data }) => this.#read(event, id, data, piece) });
  }

  /** Returns what is wrong, if anything. */
  feed(chunk: Buffer): string | undefined {
    this.bytes += chunk.length;
    if (this.bytes > this.#task.rule.maxReturnBytes) return 'the return is too large';
    try {
      this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    } catch {
      return 'the stream is no text';
    }
    return this.#wrong;
  }

  end(): RunEnd {
    const { bytes } = this;
    return this.#closed ? { kind: 'done', body: '', bytes } : { kind: 'broken', reason: 'the stream ended without its close', bytes };
  }

  #read(event: string | undefined, id: string | undefined, data: string, piece: (data: string) => void): void {
    if (this.#wrong !== undefined) return;
    if (this.#closed) this.#wrong = 'the stream went on after its close';
    else if (event === 'close') this.#closed = true;
    else if (event !== undefined || id !== String(this.#next)) this.#wrong = 'a piece is out of order';
    else {
      this.#next += 1;
      piece(data);
    }
  }
}
