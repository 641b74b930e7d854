import { createParser } from 'eventsource-parser';
import type { EventSourceParser } from 'eventsource-parser';
import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/connectionPool.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';
import { responseHeadEnd } from './responseHeadEnd.js';

interface ItemExchangeOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly attempt: ItemAttempt;
  readonly event: (id: string | undefined, data: string) => void;
  readonly abort: AbortSignal;
  readonly resolve: (end: ItemEnd) => void;
}

/** Limit on what is read of a response that is no success, so that its connection can be used again. */
const maxDiscardedBytes = 65_536;

/** One request for an opaque item and its response, on a connection of the pool. */
export class ItemExchange {
  readonly #options: ItemExchangeOptions;
  readonly #parser: EventSourceParser;
  readonly #decoder = new TextDecoder('utf-8', { fatal: true });
  readonly #sentAtMs: number;
  #receivedAtMs: number;
  #discardedBytes = 0;
  #over = false;
  /** Known once the head of the response shows that it is no success. */
  #end: ItemEnd | undefined;
  #cancelTimer = (): void => undefined;
  #destroy = (): void => undefined;
  /** A field, so that the same function is added and removed as a listener. */
  readonly #stop = (): void => this.#breakOff(this.#end ?? { kind: 'broken', reason: 'given up' });

  constructor(options: ItemExchangeOptions) {
    this.#options = options;
    this.#parser = createParser({ onEvent: ({ id, data }) => options.event(id, data) });
    this.#sentAtMs = options.clock.nowMs();
    this.#receivedAtMs = this.#sentAtMs;
  }

  send(): void {
    const { connections, attempt, abort } = this.#options;
    const { key, address, task, method, path, body } = attempt;
    abort.addEventListener('abort', this.#stop);
    this.#watch();
    const request = {
      id: task,
      method,
      path,
      headers: Object.entries(attempt.headers).flat(),
      body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
    };
    const sending = connections.send(key, address, request, {
      head: (status, _reason, headers) => this.#head(status, headers),
      data: (chunk) => this.#data(chunk),
      end: () => this.#finish(this.#end ?? { kind: 'done' }),
      failed: (_error, how) => this.#failed(how),
    });
    this.#destroy = () => sending.abort();
  }

  #head(status: number, headers: readonly string[]): void {
    this.#receivedAtMs = this.#options.clock.nowMs();
    const end = responseHeadEnd(status, headers, this.#options.headerNames);
    if (end?.kind === 'broken') this.#breakOff(end);
    else this.#end = end;
  }

  #data(chunk: Buffer): void {
    this.#receivedAtMs = this.#options.clock.nowMs();
    if (this.#over) return;
    if (this.#end !== undefined) {
      this.#discardedBytes += chunk.length;
      if (this.#discardedBytes > maxDiscardedBytes) this.#breakOff(this.#end);
      return;
    }
    try {
      this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
    } catch {
      this.#breakOff({ kind: 'broken', reason: 'the return is no text' });
    }
  }

  #failed(how: Parameters<Parameters<ConnectionPool['send']>[3]['failed']>[1]): void {
    if (this.#end !== undefined) return this.#finish(this.#end);
    // What cannot be sent to any replica says nothing of this one.
    if (how === 'unfit') return this.#finish({ kind: 'status', status: 400 });
    this.#finish(how === 'unsent' ? { kind: 'unsent' } : { kind: 'broken', reason: 'the replica broke off' });
  }

  /** One timer for both limits: what was received meanwhile only sets it again. */
  #watch(): void {
    const { clock, attempt } = this.#options;
    const untilMs = Math.min(this.#sentAtMs + attempt.expiryMs, this.#receivedAtMs + attempt.failureTimeoutMs);
    const leftMs = untilMs - clock.nowMs();
    if (leftMs <= 0) this.#stop();
    else this.#cancelTimer = clock.after(leftMs, () => this.#watch());
  }

  /** The connection is destroyed, for the rest of the response would be taken for another's. */
  #breakOff(end: ItemEnd): void {
    this.#destroy();
    this.#finish(end);
  }

  #finish(end: ItemEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#cancelTimer();
    this.#options.abort.removeEventListener('abort', this.#stop);
    this.#options.resolve(end);
  }
}
