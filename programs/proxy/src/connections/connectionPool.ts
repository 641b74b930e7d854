import { Client, errors } from 'undici';
import type { buildConnector, Dispatcher } from 'undici';
import type { Address } from '@pewterlanding/model';
import { headerOf } from '../headers/headerOf.js';

interface ConnectionPoolOptions {
  readonly connectMs: number;
  /** How long an idle connection is kept where the replica does not say. */
  readonly idleMs: number;
  /** Lower-case name of the header that carries a request's id, and that a replica echoes on its response. */
  readonly idHeader: string;
  /** How a connection is opened; left out, by TCP within `connectMs`. */
  readonly connect?: buildConnector.connector;
}

interface Sent {
  /** The request's id, never empty: a response that does not echo it belongs to another request. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Flat: names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}

/** What comes back, told synchronously as it is read; after `end` or `failed` nothing follows. */
interface Reader {
  readonly head: (status: number, reason: string, headers: readonly string[]) => void;
  readonly data: (chunk: Buffer) => void;
  readonly end: () => void;
  /** 'sent': bytes may have left, so that the replica may have run it; 'unfit': it is no task that can be sent. */
  readonly failed: (error: Error, how: 'sent' | 'unsent' | 'unfit') => void;
}

/** One connection and the ids of the requests that it carried last. */
interface Connection {
  readonly client: Client;
  readonly recentIds: string[];
}

interface Sending {
  /** Whether a byte of the request may have left. Until then nothing of it can have run. */
  readonly begun: boolean;
  /** Destroys the connection at once; nothing more is told. */
  readonly abort: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

/** A replica's statement of when it closes idle connections comes by the whole second; sending so much before is safe. */
const idleMarginMs = 400;
/**
 * A replica may send one more response than it owes, in the place of the next. Where the next request has the same id (an item
 * that runs again, a retry), the echo cannot tell the two apart, so a connection never carries an id that it carried lately.
 * One would do for a replica that is late by one response; the rest is margin.
 */
const recentIdCount = 8;

/**
 * ConnectionPool to replicas: one task at a time on each, the one used last first, so that few stay open and new ones are rare.
 *
 * A response is told to a reader only if it came on the reader's connection, while its request was the one under way there, and
 * echoes its id. Anything else ends the connection. A reader is bound to its request by closure and deaf once it has ended, so
 * what comes late for an ended attempt reaches nobody.
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #idle = new Map<string, Connection[]>();
  readonly #busy = new Set<Client>();
  #opened = 0;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /** ConnectionPool opened since the start: they are dear to replicas. */
  get opened(): number {
    return this.#opened;
  }

  /** ConnectionPool that wait to be used again. */
  get idle(): number {
    return [...this.#idle.values()].reduce((sum, { length }) => sum + length, 0);
  }

  send(key: string, address: Address, sent: Sent, reader: Reader): Sending {
    const connection = this.#take(key, sent.id) ?? this.#open(key, address);
    const { client } = connection;
    const { id, ...request } = sent;
    connection.recentIds.push(id);
    if (connection.recentIds.length > recentIdCount) connection.recentIds.shift();
    this.#busy.add(client);
    let control: Dispatcher.DispatchController | undefined;
    let started = false;
    let over = false;
    let closing = false;
    const destroy = (reason: Error): void => {
      over = true;
      this.#busy.delete(client);
      // The controller's way fails the running task and destroys the socket under it; the client's serves those not yet connected.
      control?.abort(reason);
      client.destroy(reason).catch(() => undefined);
    };
    const fail = (error: Error): void => {
      if (over) return;
      destroy(error);
      const unfit = error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError;
      reader.failed(error, started ? 'sent' : unfit ? 'unfit' : 'unsent');
    };
    client.dispatch(
      { ...request, body: sent.body.length === 0 ? null : sent.body, headersTimeout: 0, bodyTimeout: 0 },
      {
        onRequestStart: (controller) => {
          control = controller;
          // Sent twice it might run twice: the second time it is broken off before a byte.
          if (over || started) return controller.abort(new errors.RequestAbortedError());
          started = true;
        },
        onResponseStart: (controller, status, headers, reason) => {
          if (over || status < 200) return;
          const raw = flat(controller.rawHeaders);
          if (headerOf(raw, this.#options.idHeader) !== id) return fail(new Error('the response is for another request'));
          closing = String(headers['connection'] ?? '')
            .toLowerCase()
            .includes('close');
          reader.head(status, reason ?? '', raw);
        },
        onResponseData: (_controller, chunk) => {
          if (!over) reader.data(chunk);
        },
        onResponseEnd: () => {
          if (over) return;
          over = true;
          this.#busy.delete(client);
          if (closing) client.close().catch(() => undefined);
          else this.#keep(key, connection);
          reader.end();
        },
        onResponseError: (_controller, error) => fail(error),
      },
    );
    return {
      get begun() {
        return started;
      },
      abort: () => {
        if (!over) destroy(new errors.RequestAbortedError());
      },
      pause: () => {
        if (!over) control?.pause();
      },
      resume: () => {
        if (!over) control?.resume();
      },
    };
  }

  /** Closes idle connections to lives that are not there any more. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, connections] of this.#idle) {
      if (keys.has(key)) continue;
      this.#idle.delete(key);
      for (const { client } of connections) client.close().catch(() => undefined);
    }
  }

  async close(): Promise<void> {
    const all = [...this.#busy, ...[...this.#idle.values()].flat().map(({ client }) => client)];
    this.#idle.clear();
    await Promise.all(all.map((client) => client.destroy().catch(() => undefined)));
  }

  /** The idle connection that was used last, of those that did not carry this id lately. */
  #take(key: string, id: string): Connection | undefined {
    const idle = this.#idle.get(key);
    const at = idle?.findLastIndex(({ recentIds }) => !recentIds.includes(id)) ?? -1;
    return at < 0 ? undefined : idle?.splice(at, 1)[0];
  }

  #open(key: string, address: Address): Connection {
    this.#opened += 1;
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      connect: this.#options.connect ?? { timeout: this.#options.connectMs },
      keepAliveTimeout: this.#options.idleMs,
      keepAliveTimeoutThreshold: idleMarginMs,
      maxResponseSize: -1,
    });
    // A connection that the other side closed is forgotten, not opened anew for nothing.
    client.on('disconnect', () => {
      const idle = this.#idle.get(key);
      const at = idle?.findIndex((one) => one.client === client) ?? -1;
      if (idle === undefined || at < 0) return;
      idle.splice(at, 1);
      if (idle.length === 0) this.#idle.delete(key);
      client.close().catch(() => undefined);
    });
    return { client, recentIds: [] };
  }

  #keep(key: string, connection: Connection): void {
    const idle = this.#idle.get(key) ?? [];
    this.#idle.set(key, idle);
    idle.push(connection);
  }
}

/** Headers as they came, by byte. */
function flat(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((one) => (typeof one === 'string' ? one : one.toString('latin1')));
}
