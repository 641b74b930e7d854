import { Client } from 'undici';
import type { buildConnector } from 'undici';
import type { Address } from '@pewterlanding/model';
import { PooledRequest } from './pooledRequest.js';
import type { RequestControl } from './requestControl.js';
import type { ResponseReader } from './responseReader.js';
import type { UpstreamRequest } from './upstreamRequest.js';

interface ConnectionPoolOptions {
  readonly connectMs: number;
  /** How long an idle connection is kept where the replica states no keep-alive timeout. */
  readonly idleMs: number;
  /** Lower-case name of the header that carries a request's id, and that a replica echoes on its response. */
  readonly idHeader: string;
  /** How a connection is opened; left out, by TCP within `connectMs`. */
  readonly connect?: buildConnector.connector;
}

/** One connection and the ids of its last requests. */
interface Connection {
  readonly client: Client;
  readonly recentIds: string[];
}

/** Replicas state their keep-alive timeout in whole seconds; an idle connection is closed this much before it, to avoid the race. */
const idleMarginMs = 400;
/**
 * A replica may send a response too many, which then stands in the place of the next. Where the next request has the same id (a batch item
 * that runs again, a retry), the echo cannot tell the two apart, so a connection is not used for an id among its last ones. One would do
 * for a replica that is late by one response; the rest is margin.
 */
const recentIdCount = 8;

/**
 * HTTP/1.1 connections to replicas without pipelining, the most recently used first, so that few stay open. A connection is used again only
 * after its response was read to the end (see PooledRequest).
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #idle = new Map<string, Connection[]>();
  readonly #busy = new Set<Client>();
  #opened = 0;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
  }

  /** Connections opened since the start. */
  get opened(): number {
    return this.#opened;
  }

  /** Idle connections. */
  get idle(): number {
    return [...this.#idle.values()].reduce((sum, { length }) => sum + length, 0);
  }

  /** Whether a request to the replica `key` would not open a connection. */
  hasIdle(key: string): boolean {
    return (this.#idle.get(key)?.length ?? 0) > 0;
  }

  /** Sends a request on a connection of the replica `key`, opened at `address` if none is idle. Never throws: see `reader.failed`. */
  send(key: string, address: Address, request: UpstreamRequest, reader: ResponseReader): RequestControl {
    const { id, method, path, headers, body } = request;
    const connection = this.#takeIdle(key, id) ?? this.#open(key, address);
    const { client } = connection;
    rememberId(connection, id);
    this.#busy.add(client);
    const pooled = new PooledRequest({
      client,
      id,
      idHeader: this.#options.idHeader,
      reader,
      completed: (closing) => this.#release(key, connection, closing),
      destroyed: () => this.#busy.delete(client),
    });
    const content = body.length === 0 ? null : body;
    client.dispatch({ method, path, headers, body: content, headersTimeout: 0, bodyTimeout: 0 }, pooled.handler);
    return pooled;
  }

  /** Closes idle connections to replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, connections] of this.#idle) {
      if (keys.has(key)) continue;
      this.#idle.delete(key);
      for (const { client } of connections) closeQuietly(client);
    }
  }

  /** Destroys all connections; requests in flight fail. */
  async close(): Promise<void> {
    const clients = [...this.#busy];
    for (const connections of this.#idle.values()) clients.push(...connections.map(({ client }) => client));
    this.#idle.clear();
    await Promise.all(clients.map((client) => client.destroy().catch(() => undefined)));
  }

  /** The most recently used idle connection whose last requests did not have this id. */
  #takeIdle(key: string, id: string): Connection | undefined {
    const idle = this.#idle.get(key);
    if (idle === undefined) return undefined;
    const index = idle.findLastIndex(({ recentIds }) => !recentIds.includes(id));
    return index < 0 ? undefined : idle.splice(index, 1)[0];
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
    client.on('disconnect', () => this.#forgetIdle(key, client));
    return { client, recentIds: [] };
  }

  #release(key: string, connection: Connection, closing: boolean): void {
    this.#busy.delete(connection.client);
    if (closing) return closeQuietly(connection.client);
    const idle = this.#idle.get(key) ?? [];
    this.#idle.set(key, idle);
    idle.push(connection);
  }

  /** undici would reopen a connection that the replica closed: it is dropped instead. */
  #forgetIdle(key: string, client: Client): void {
    const idle = this.#idle.get(key);
    const index = idle?.findIndex((connection) => connection.client === client) ?? -1;
    if (idle === undefined || index < 0) return;
    idle.splice(index, 1);
    if (idle.length === 0) this.#idle.delete(key);
    closeQuietly(client);
  }
}

function rememberId({ recentIds }: Connection, id: string): void {
  recentIds.push(id);
  if (recentIds.length > recentIdCount) recentIds.shift();
}

function closeQuietly(client: Client): void {
  client.close().catch(() => undefined);
}
