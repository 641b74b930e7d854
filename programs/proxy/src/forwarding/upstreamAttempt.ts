import type { Address, Service } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool, RequestControl } from '../connections/index.js';
import { endToEnd, headerOf } from '../headers/index.js';
import type { HeaderNames } from '../headers/index.js';
import { EventCutter } from '../streaming/index.js';
import type { AttemptEnd } from './attemptEnd.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import type { ResponseWriter } from './responseWriter.js';
import type { StreamProgress } from './streamProgress.js';

interface UpstreamAttemptOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly writer: ResponseWriter;
  readonly request: ProxiedRequest;
  /** The request's id. */
  readonly id: string;
  readonly rule: Service;
  /** Whether a success is a stream of events, passed on as they arrive; otherwise the whole response is buffered. */
  readonly isStreamed: boolean;
  readonly stream: StreamProgress;
  /** Key and address of the replica. */
  readonly key: string;
  readonly address: Address;
  /** The headers to send. */
  readonly headers: string[];
  /** Called when the first event arrived. */
  readonly read: () => void;
}

/** Statuses that promise that the request was not run: passed on only if the replica states so in its header. */
const promises = new Set([408, 421, 429, 503]);

/** One attempt of an opaque request at one replica. The response is checked before any byte of it is passed on. */
export class UpstreamAttempt {
  /** Never rejects. */
  readonly end: Promise<AttemptEnd>;
  readonly #options: UpstreamAttemptOptions;
  readonly #chunks: Buffer[] = [];
  readonly #cutter = new EventCutter();
  #resolve: (end: AttemptEnd) => void = () => undefined;
  #control: RequestControl | undefined;
  #status = 0;
  #reason = '';
  #headers: readonly string[] = [];
  #isNotRun = false;
  #hasEvents = false;
  #bytes = 0;
  #heardMs: number;
  #isPaused = false;
  #isOver = false;

  /** Sends the request. */
  constructor(options: UpstreamAttemptOptions) {
    this.#options = options;
    const { connections, id, key, address, request, headers } = options;
    this.#heardMs = options.clock.nowMs();
    this.end = new Promise((resolve) => (this.#resolve = resolve));
    this.#control = connections.send(
      key,
      address,
      { id, method: request.method, path: request.url, headers, body: request.body },
      {
        head: (status, reason, response) => this.#head(status, reason, response),
        data: (chunk) => this.#data(chunk),
        end: () => this.#complete(),
        failed: (error, how) => this.#finish(how === 'sent' ? { kind: 'broken', reason: error.message } : { kind: how }),
      },
    );
  }

  /** Key of the replica. */
  get key(): string {
    return this.#options.key;
  }

  /** When the replica last sent something, or the attempt began. */
  get heardMs(): number {
    return this.#heardMs;
  }

  /** Whether a byte of the request may have left. */
  get isSent(): boolean {
    return this.#control?.begun ?? false;
  }

  /** Whether the head of a response arrived. */
  get hasResponse(): boolean {
    return this.#status !== 0;
  }

  /** Whether reading is paused for a slow client: the replica is silent for that reason. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Ends the attempt because its time is over or its client disconnected: `silent` without a response so far, else `broken`. */
  giveUp(reason: string): void {
    this.#stop({ kind: this.hasResponse ? 'broken' : 'silent', reason });
  }

  /** Destroys the connection at once. */
  abort(reason: string): void {
    this.#stop({ kind: 'broken', reason });
  }

  /** While no byte has left, for want of a connection, the replica cannot have run the request, however the attempt ends. */
  #stop(end: AttemptEnd): void {
    const certainEnd: AttemptEnd = this.isSent ? end : { kind: 'unsent' };
    this.#control?.abort();
    this.#finish(certainEnd);
  }

  #finish(end: AttemptEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#resolve(end);
  }

  #head(status: number, reason: string, headers: readonly string[]): void {
    const { headerNames, isStreamed, stream } = this.#options;
    this.#heardMs = this.#options.clock.nowMs();
    this.#status = status;
    this.#reason = reason;
    this.#headers = headers;
    this.#isNotRun = status >= 400 && headerOf(headers, headerNames.notRun) !== undefined;
    const fault = this.#headFault();
    if (fault !== undefined) return this.abort(fault);
    this.#hasEvents = isStreamed && this.#isSuccess && !this.#isBodiless;
    // A stream that was begun can only be continued by events. A statement that the request was not run is read to its end.
    if (!this.#hasEvents && !this.#isNotRun && stream.isBegun) this.abort(`status ${status} in the middle of a stream`);
  }

  get #isSuccess(): boolean {
    return this.#status >= 200 && this.#status < 300;
  }

  get #isBodiless(): boolean {
    return this.#options.request.method === 'HEAD' || this.#status === 204 || this.#status === 304;
  }

  /** Why the head of the response is not valid, if it is not. */
  #headFault(): string | undefined {
    const { headerNames } = this.#options;
    const has = (name: string): boolean => headerOf(this.#headers, name) !== undefined;
    if (this.#isSuccess && !has(headerNames.seal)) return 'a success without its seal';
    if (this.#isSuccess && has('content-encoding')) return 'a return that was encoded on its way';
    // Without a length or chunks a complete response cannot be told from a truncated one.
    if (!this.#isBodiless && !has('content-length') && !has('transfer-encoding')) return 'the return has no end mark';
    return undefined;
  }

  #data(chunk: Buffer): void {
    if (this.#isOver) return;
    this.#heardMs = this.#options.clock.nowMs();
    if (this.#hasEvents) return this.#passEvents(chunk);
    this.#bytes += chunk.length;
    if (this.#bytes > this.#options.rule.maxReturnBytes) return this.abort('the return is too large');
    this.#chunks.push(chunk);
  }

  /** Passes complete events on as they arrive, up to the first that is out of order. */
  #passEvents(chunk: Buffer): void {
    const { stream, read, rule } = this.#options;
    const accepted: Buffer[] = [];
    let fault: string | undefined;
    for (const { bytes, id } of this.#cutter.feed(chunk)) {
      if (!stream.accept(id, this.#bytes === 0)) {
        fault = 'an event is out of order';
        break;
      }
      this.#bytes += bytes.length;
      accepted.push(bytes);
    }
    if (this.#cutter.incomplete.length > rule.maxReturnBytes) fault = 'an event is too large';
    if (accepted.length > 0) {
      read();
      this.#write(Buffer.concat(accepted));
    }
    if (fault !== undefined) this.abort(fault);
  }

  #write(bytes: Buffer): void {
    const { writer } = this.#options;
    this.#begin();
    if (writer.write(bytes) || this.#isPaused) return;
    // Backpressure: a slow client slows the replica down instead of filling this proxy's memory.
    this.#isPaused = true;
    this.#control?.pause();
    writer.drained(() => {
      this.#isPaused = false;
      this.#control?.resume();
    });
  }

  #begin(): void {
    const { writer, stream } = this.#options;
    if (stream.isBegun) return;
    stream.begin();
    writer.head(this.#status, this.#reason, endToEnd(this.#headers, []));
  }

  #complete(): void {
    if (this.#isOver) return;
    if (this.#hasEvents) return this.#completeStream();
    const result = { status: this.#status, reason: this.#reason, headers: this.#headers, body: Buffer.concat(this.#chunks) };
    if (this.#isNotRun) return this.#finish({ kind: 'notRun', result });
    if (promises.has(this.#status))
      return this.#finish({ kind: 'broken', reason: `status ${this.#status} without a word that it did not run` });
    this.#finish({ kind: 'whole', result });
  }

  #completeStream(): void {
    this.#begin();
    // Bytes after the last blank line are part of the body too.
    const rest = this.#cutter.incomplete;
    this.#options.writer.end(rest.length > 0 ? rest : undefined);
    this.#finish({ kind: 'streamed' });
  }
}
