import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { Address } from '@pewterlanding/model';
import { addressParts } from '@pewterlanding/model';
import type { Clock } from '../clock/index.js';
import type { Counters } from '../logging/index.js';
import type { Call } from './call.js';
import { ConnectAttempt } from './connectAttempt.js';
import { Connection } from './connection.js';
import { RequestTracker } from './requestTracker.js';
import { SilenceDetector } from './silenceDetector.js';
import type { Transport } from './transport.js';
import type { TransportBounds } from './transportBounds.js';

const defaultBounds: TransportBounds = { maxFrameBytes: 16 << 20, maxQueueBytes: 32 << 20, dialMs: 1000 };
/** A process that connects here is up: less silence, as a part of `dialMs`, shows that our connection to it is of its earlier run. */
const reconnectedSilenceRatio = 1 / 4;

interface TcpTransportOptions {
  /** The address at which other processes reach this one. */
  readonly here: Address;
  /** The address to listen at; its host is also the source address of outgoing connections. */
  readonly listen: Address;
  /** Connections of other fleets are refused. */
  readonly fleet: string;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Left out: frames of 16 MiB, a queue of 32 MiB, 1000 ms. */
  readonly bounds?: Partial<TransportBounds>;
}

/** Transport over TCP with one outgoing connection for each address. Responses come back on the connection of their request. */
export class TcpTransport implements Transport {
  readonly here: Address;
  readonly #options: TcpTransportOptions;
  readonly #bounds: TransportBounds;
  readonly #requests: RequestTracker<Connection>;
  readonly #silenceDetector: SilenceDetector;
  /** Outgoing connections, by the address that was dialled. */
  readonly #dialled = new Map<Address, Connection>();
  /** Sockets of all connections, incoming and outgoing. */
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;

  constructor(options: TcpTransportOptions) {
    this.here = options.here;
    this.#options = options;
    this.#bounds = { ...defaultBounds, ...options.bounds };
    this.#requests = new RequestTracker(options.clock, options.counters);
    this.#silenceDetector = new SilenceDetector(options.clock);
  }

  /** Starts to accept connections; rejects with the error of the system, as when the address is in use. */
  async listen(): Promise<void> {
    const server = createServer((socket) => {
      this.#connectionOver(socket, (connection) => this.#requests.lost(connection));
    });
    this.#server = server;
    const { host, port } = addressParts(this.#options.listen);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Stops accepting and closes all connections; pending requests fail as lost. */
  close(): void {
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#requests.serve(call, handle);
  }

  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    const connection = this.#connectionTo(to);
    this.#silenceDetector.requested(connection);
    const response = this.#requests.ask(connection, (frame) => connection.send(frame), call, body, waitMs);
    response.catch(() => this.#abandonIfSilent(to, connection, this.#bounds.dialMs));
    return response;
  }

  tell<B, R>(to: Address, call: Call<B, R>, body: B): void {
    this.#connectionTo(to).send({ kind: 'tell', call: call.name, body });
  }

  /** Closes a connection that has been silent for so long; the next request opens a new one. */
  #abandonIfSilent(to: Address, connection: Connection, silentMs: number): void {
    if (!this.#silenceDetector.isSilent(connection, silentMs)) return;
    this.#options.counters.add('wire.abandoned');
    this.#silenceDetector.forget(connection);
    this.#forget(to, connection);
    connection.close();
  }

  #connectionTo(to: Address): Connection {
    return this.#dialled.get(to) ?? this.#dial(to);
  }

  #dial(to: Address): Connection {
    const { host, port } = addressParts(to);
    const socket = connect({ host, port, localAddress: addressParts(this.#options.listen).host });
    const attempt = new ConnectAttempt(socket, this.#options.clock, this.#bounds.dialMs);
    const connection = this.#connectionOver(socket, (closed) => {
      attempt.cancel();
      this.#forget(to, closed);
      // Requests on a connection that was never established were never sent.
      this.#requests.lost(closed, attempt.succeeded);
    });
    this.#dialled.set(to, connection);
    return connection;
  }

  /** Only this connection: a newer one to the same address stays. */
  #forget(to: Address, connection: Connection): void {
    if (this.#dialled.get(to) === connection) this.#dialled.delete(to);
  }

  #connectionOver(socket: Socket, closed: (connection: Connection) => void): Connection {
    this.#sockets.add(socket);
    return new Connection({
      socket,
      fleet: this.#options.fleet,
      from: this.here,
      bounds: this.#bounds,
      counters: this.#options.counters,
      hooks: {
        frame: (frame, connection) => this.#requests.take(frame, (reply) => connection.send(reply)),
        greeted: (from) => this.#greeted(from),
        closed: (connection) => {
          this.#sockets.delete(socket);
          closed(connection);
        },
      },
    });
  }

  #greeted(from: Address): void {
    const dialled = this.#dialled.get(from);
    if (dialled !== undefined) this.#abandonIfSilent(from, dialled, this.#bounds.dialMs * reconnectedSilenceRatio);
  }
}
