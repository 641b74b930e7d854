import { createParser } from 'eventsource-parser';
import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/connectionPool.js';
import { headerOf } from '../headers/headerOf.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';
import type { ItemTransport } from './itemTransport.js';

interface PooledItemTransportOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
}

/** What is read of a return that is no stream, so that its connection may be used again. */
const maxDumped = 65_536;

/**
 * Opaque items over the connections that live tasks use. One whose return was wrong, or was given up, is destroyed and never used
 * again.
 */
export class PooledItemTransport implements ItemTransport {
  readonly #options: PooledItemTransportOptions;

  constructor(options: PooledItemTransportOptions) {
    this.#options = options;
  }

  run(attempt: ItemAttempt, event: (id: string | undefined, data: string) => void, abort: AbortSignal): Promise<ItemEnd> {
    if (abort.aborted) return Promise.resolve({ kind: 'unsent' });
    const { clock, connections } = this.#options;
    const { key, address, task, method, path, body, expiryMs, failureTimeoutMs } = attempt;
    const parser = createParser({ onEvent: ({ id, data }) => event(id, data) });
    const decoder = new TextDecoder('utf-8', { fatal: true });
    const begunMs = clock.nowMs();
    return new Promise((resolve) => {
      let heardMs = begunMs;
      let dumped = 0;
      let over = false;
      let told: ItemEnd | undefined;
      let cancel = (): void => undefined;
      let destroy = (): void => undefined;
      const finish = (end: ItemEnd): void => {
        if (over) return;
        over = true;
        cancel();
        abort.removeEventListener('abort', stop);
        resolve(end);
      };
      const breakOff = (end: ItemEnd): void => {
        destroy();
        finish(end);
      };
      const stop = (): void => breakOff(told ?? { kind: 'broken', reason: 'given up' });
      // One timer for both bounds: what was heard meanwhile only puts it off.
      const watch = (): void => {
        const leftMs = Math.min(begunMs + expiryMs, heardMs + failureTimeoutMs) - clock.nowMs();
        if (leftMs <= 0) stop();
        else cancel = clock.after(leftMs, watch);
      };
      abort.addEventListener('abort', stop);
      watch();
      const headers = Object.entries(attempt.headers).flat();
      const sending = connections.send(
        key,
        address,
        { id: task, method, path, headers, body: Buffer.from(body.buffer, body.byteOffset, body.byteLength) },
        {
          head: (status, _reason, response) => {
            heardMs = clock.nowMs();
            const judged = this.#judge(status, response);
            if (judged?.kind === 'broken') breakOff(judged);
            else told = judged;
          },
          data: (chunk) => {
            heardMs = clock.nowMs();
            if (over) return;
            if (told !== undefined) {
              dumped += chunk.length;
              if (dumped > maxDumped) breakOff(told);
              return;
            }
            try {
              parser.feed(decoder.decode(chunk, { stream: true }));
            } catch {
              breakOff({ kind: 'broken', reason: 'the return is no text' });
            }
          },
          end: () => finish(told ?? { kind: 'done' }),
          failed: (_error, how) => {
            if (told !== undefined) return finish(told);
            // What cannot be sent anywhere says nothing of the replica.
            if (how === 'unfit') return finish({ kind: 'status', status: 400 });
            finish(how === 'unsent' ? { kind: 'unsent' } : { kind: 'broken', reason: 'the replica broke off' });
          },
        },
      );
      destroy = () => sending.abort();
    });
  }

  /** Undefined for a success, whose end is not known before its last byte. */
  #judge(status: number, headers: readonly string[]): ItemEnd | undefined {
    const { seal, notRun } = this.#options.headerNames;
    if (status < 200 || status > 299)
      return status >= 400 && headerOf(headers, notRun) !== undefined ? { kind: 'notRun', status } : { kind: 'status', status };
    if (headerOf(headers, seal) === undefined || headerOf(headers, 'content-encoding') !== undefined)
      return { kind: 'broken', reason: 'a success without its seal' };
    // Without a length or chunks nobody can tell a whole return from a cut one.
    if (headerOf(headers, 'content-length') === undefined && headerOf(headers, 'transfer-encoding') === undefined)
      return { kind: 'broken', reason: 'the return has no end mark' };
    return undefined;
  }
}
