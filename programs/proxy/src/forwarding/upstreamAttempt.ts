import type { Service } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/connectionPool.js';
import { endToEnd } from '../headers/endToEnd.js';
import { EventCutter } from '../streaming/eventCutter.js';
import { headerOf } from '../headers/headerOf.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import type { ResponseWriter } from './responseWriter.js';
import type { AttemptEnd } from './attemptEnd.js';

/** What of a stream has been passed on, over all tries of it. */
interface StreamState {
  begun: boolean;
  /** The last event passed on, or the one that the downstream has already. */
  lastId: number | undefined;
  /** The largest step between ids so far. */
  step: number;
}

interface UpstreamAttemptOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly writer: ResponseWriter;
  readonly task: ProxiedRequest;
  readonly id: string;
  readonly rule: Service;
  readonly streamed: boolean;
  readonly stream: StreamState;
  readonly key: string;
  readonly address: Parameters<ConnectionPool['send']>[1];
  readonly headers: string[];
  /** The first event came. */
  readonly read: () => void;
}

/** Refusals that promise that the task has not run: passed on only with the replica's own word for it. */
const promises = new Set([408, 421, 429, 503]);

/** One try of an opaque task at one replica: what comes back is judged before a byte of it goes on. */
export class UpstreamAttempt {
  readonly end: Promise<AttemptEnd>;
  readonly #options: UpstreamAttemptOptions;
  readonly #chunks: Buffer[] = [];
  readonly #cutter = new EventCutter();
  #resolve: (end: AttemptEnd) => void = () => undefined;
  #sending: ReturnType<ConnectionPool['send']> | undefined;
  #status = 0;
  #reason = '';
  #headers: readonly string[] = [];
  #notRun = false;
  #events = false;
  #bytes = 0;
  #heardMs: number;
  #paused = false;
  #over = false;

  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
    const { connections, id, key, address, task, headers } = options;
    this.#heardMs = options.clock.nowMs();
    this.end = new Promise((resolve) => (this.#resolve = resolve));
    this.#sending = connections.send(
      key,
      address,
      { id, method: task.method, path: task.url, headers, body: task.body },
      {
        head: (status, reason, response) => this.#head(status, reason, response),
        data: (chunk) => this.#data(chunk),
        end: () => this.#ended(),
        failed: (error, how) => this.#finish(how === 'sent' ? { kind: 'broken', reason: error.message } : { kind: how }),
      },
    );
  }

  get key(): string {
    return this.#options.key;
  }

  /** When the replica was last heard in this try. */
  get heardMs(): number {
    return this.#heardMs;
  }

  /** Whether a byte of it may have left. */
  get begun(): boolean {
    return this.#sending?.begun ?? false;
  }

  /** The head of a response to it came. */
  get answered(): boolean {
    return this.#status !== 0;
  }

  /** Its downstream reads slowly: the replica is silent for that. */
  get paused(): boolean {
    return this.#paused;
  }

  /** Its time is over, or its downstream left. */
  giveUp(reason: string): void {
    this.#stop({ kind: this.#status === 0 ? 'silent' : 'broken', reason });
  }

  /** Destroys the connection at once. */
  abort(reason: string): void {
    this.#stop({ kind: 'broken', reason });
  }

  /** Where not a byte has left, for want of a connection, nothing can run: that is sure, however the try is ended. */
  #stop(end: AttemptEnd): void {
    const sure = this.begun ? end : ({ kind: 'unsent' } as const);
    this.#sending?.abort();
    this.#finish(sure);
  }

  #finish(end: AttemptEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#resolve(end);
  }

  #head(status: number, reason: string, headers: readonly string[]): void {
    const { headerNames, task, streamed } = this.#options;
    this.#heardMs = this.#options.clock.nowMs();
    this.#status = status;
    this.#reason = reason;
    this.#headers = headers;
    this.#notRun = status >= 400 && headerOf(headers, headerNames.notRun) !== undefined;
    const success = status >= 200 && status < 300;
    if (success && headerOf(headers, headerNames.seal) === undefined) return this.abort('a success without its seal');
    if (success && headerOf(headers, 'content-encoding') !== undefined) return this.abort('a return that was encoded on its way');
    const bodiless = task.method === 'HEAD' || status === 204 || status === 304;
    // Without a length or chunks nobody can tell a whole return from a cut one.
    if (!bodiless && headerOf(headers, 'content-length') === undefined && headerOf(headers, 'transfer-encoding') === undefined)
      return this.abort('the return has no end mark');
    this.#events = streamed && success && !bodiless;
    // A stream that was begun can only be continued by events; that a replica did not run it is read to its end like any such word.
    if (!this.#events && !this.#notRun && this.#options.stream.begun) this.abort(`status ${status} in the middle of a stream`);
  }

  #data(chunk: Buffer): void {
    if (this.#over) return;
    this.#heardMs = this.#options.clock.nowMs();
    if (this.#events) return this.#pass(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes > this.#options.rule.maxReturnBytes) return this.abort('the return is too large');
    this.#chunks.push(chunk);
  }

  /** Passes whole events on as they come, as long as their ids rise and none is missing where a run was continued. */
  #pass(chunk: Buffer): void {
    const { stream, read, rule } = this.#options;
    const ready: Buffer[] = [];
    let wrong: string | undefined;
    for (const { bytes, id } of this.#cutter.feed(chunk)) {
      const at = id === undefined || !/^\d{1,15}$/.test(id) ? undefined : Number(id);
      if (at !== undefined) {
        const last = stream.lastId;
        // One event may carry several tokens; a run continues within the steps that were seen.
        const continued = this.#bytes === 0 && last !== undefined && (stream.begun || last > 0);
        if (last !== undefined && (at <= last || (continued && at - last > stream.step))) {
          wrong = 'an event is out of order';
          break;
        }
        if (last !== undefined && stream.begun) stream.step = Math.max(stream.step, at - last);
        stream.lastId = at;
      }
      this.#bytes += bytes.length;
      ready.push(bytes);
    }
    if (this.#cutter.held.length > rule.maxReturnBytes) wrong = 'an event is too large';
    if (ready.length > 0) {
      read();
      this.#write(Buffer.concat(ready));
    }
    if (wrong !== undefined) this.abort(wrong);
  }

  #write(bytes: Buffer): void {
    const { writer } = this.#options;
    this.#begin();
    if (writer.write(bytes) || this.#paused) return;
    // A downstream that reads slowly holds the replica back, not this front's memory.
    this.#paused = true;
    this.#sending?.pause();
    writer.drained(() => {
      this.#paused = false;
      this.#sending?.resume();
    });
  }

  #begin(): void {
    const { writer, stream } = this.#options;
    if (stream.begun) return;
    stream.begun = true;
    writer.head(this.#status, this.#reason, endToEnd(this.#headers, []));
  }

  #ended(): void {
    if (this.#over) return;
    if (this.#events) {
      this.#begin();
      // Bytes after the last blank line belong to the replica's body too.
      this.#options.writer.end(this.#cutter.held.length > 0 ? this.#cutter.held : undefined);
      return this.#finish({ kind: 'streamed' });
    }
    const response = { status: this.#status, reason: this.#reason, headers: this.#headers, body: Buffer.concat(this.#chunks) };
    if (this.#notRun) return this.#finish({ kind: 'notRun', result: response });
    // Without the replica's word these would promise what is not known.
    if (promises.has(this.#status))
      return this.#finish({ kind: 'broken', reason: `status ${this.#status} without a word that it did not run` });
    this.#finish({ kind: 'whole', result: response });
  }
}
