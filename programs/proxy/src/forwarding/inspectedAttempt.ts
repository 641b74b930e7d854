import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool, ReplicaTask, RequestControl, RunEnd } from '../connections/index.js';
import { defaultHeaderNames, headerOf } from '../headers/index.js';
import { StreamReader, WholeReader } from '../streaming/index.js';
import type { InspectedReader } from '../streaming/index.js';

interface InspectedAttemptOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly task: ReplicaTask;
  /** Gets the data of each event of a stream. */
  readonly piece: (data: string) => void;
  readonly abort: AbortSignal;
  /** Called once with how the attempt ended. */
  readonly ended: (end: RunEnd) => void;
}

/** Body bytes of an unsuccessful response that are read so that its connection can be used again. */
const maxDiscardedBytes = 65_536;

/** One attempt of an inspected request: bounded by its run time and by the longest silence between parts of the response. */
export class InspectedAttempt {
  readonly #options: InspectedAttemptOptions;
  readonly #reader: InspectedReader;
  readonly #untilMs: number;
  #control: RequestControl | undefined;
  #status = 0;
  /** The bound on silence applies from the response's head on. */
  #heardMs = Infinity;
  #isOver = false;
  #cancelTimeout = (): void => undefined;
  readonly #leave = (): void => this.#breakOff('given up');

  constructor(options: InspectedAttemptOptions) {
    this.#options = options;
    const { task, piece, clock } = options;
    this.#reader = task.rule.kind === 'whole' ? new WholeReader(task) : new StreamReader(task, piece);
    this.#untilMs = clock.nowMs() + task.rule.runMs;
  }

  /** Call once. */
  send(): void {
    const { connections, task, abort } = this.#options;
    const { id, address, service, input } = task;
    const body = Buffer.from(JSON.stringify({ service, input: JSON.parse(input) }));
    const headers = ['content-type', 'application/json', defaultHeaderNames.task, id];
    this.#control = connections.send(
      address,
      address,
      { id, method: 'POST', path: '/v1/run', headers, body },
      {
        head: (status, _reason, response) => this.#head(status, response),
        data: (chunk) => this.#data(chunk),
        end: () => this.#finish(this.#status === 200 ? this.#reader.end() : { kind: 'status', status: this.#status }),
        failed: (_error, how) => this.#finish(how === 'sent' ? this.#broken('the replica broke off') : { kind: 'unsent' }),
      },
    );
    abort.addEventListener('abort', this.#leave);
    this.#watch();
  }

  #head(status: number, headers: readonly string[]): void {
    this.#status = status;
    this.#heardMs = this.#options.clock.nowMs();
    // Without a length or chunks a complete response cannot be told from a truncated one. Streams have a close event.
    const isDelimited = headerOf(headers, 'content-length') !== undefined || headerOf(headers, 'transfer-encoding') !== undefined;
    if (status === 200 && this.#options.task.rule.kind === 'whole' && !isDelimited) this.#breakOff('the return has no end mark');
  }

  #data(chunk: Buffer): void {
    this.#heardMs = this.#options.clock.nowMs();
    if (this.#isOver) return;
    if (this.#status !== 200) return this.#discard(chunk);
    const fault = this.#reader.feed(chunk);
    if (fault !== undefined) this.#breakOff(fault);
  }

  #discard(chunk: Buffer): void {
    this.#reader.bytes += chunk.length;
    if (this.#reader.bytes <= maxDiscardedBytes) return;
    this.#control?.abort();
    this.#finish({ kind: 'status', status: this.#status });
  }

  /** One timer serves both bounds: bytes that arrive only postpone it. */
  #watch(): void {
    const { clock, task } = this.#options;
    const remainingMs = Math.min(this.#untilMs, this.#heardMs + task.rule.pieceMs) - clock.nowMs();
    if (remainingMs <= 0) this.#breakOff('out of time');
    else this.#cancelTimeout = clock.after(remainingMs, () => this.#watch());
  }

  #breakOff(reason: string): void {
    const isSent = this.#control?.begun ?? false;
    this.#control?.abort();
    this.#finish(isSent ? this.#broken(reason) : { kind: 'unsent' });
  }

  #broken(reason: string): RunEnd {
    return { kind: 'broken', reason, bytes: this.#reader.bytes };
  }

  #finish(end: RunEnd): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#cancelTimeout();
    this.#options.abort.removeEventListener('abort', this.#leave);
    this.#options.ended(end);
  }
}
