import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { Address } from '@pewterlanding/model';
import { addressParts } from '@pewterlanding/model';
import type { Call } from './call.js';
import { Connection } from './connection.js';
import type { Clock } from '../clock/clock.js';
import type { Counters } from '../logging/counters.js';
import { RequestTracker } from './requestTracker.js';
import type { Transport } from './transport.js';
import type { TransportBounds } from './transportBounds.js';

interface TcpTransportOptions {
  /** Where others dial this process. */
  readonly here: Address;
  /** Where it listens, and from whose host it dials. */
  readonly listen: Address;
  readonly fleet: string;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly bounds?: Partial<TransportBounds>;
}

/** The wire over TCP: one circuit to each address dialled, tasks and returns matched through a slab. */
export class TcpTransport implements Transport {
  readonly here: Address;
  readonly #listen: Address;
  readonly #fleet: string;
  readonly #clock: Clock;
  readonly #counters: Counters;
  readonly #bounds: TransportBounds;
  readonly #requests: RequestTracker<Connection>;
  readonly #dialled = new Map<Address, Connection>();
  readonly #sockets = new Set<Socket>();
  /** On which circuits something was asked since bytes last came in, how many had come in by then, and when that was. */
  readonly #unanswered = new WeakMap<Connection, { readonly bytes: number; readonly sinceMs: number }>();
  #server: Server | undefined;

  constructor(options: TcpTransportOptions) {
    this.here = options.here;
    this.#listen = options.listen;
    this.#fleet = options.fleet;
    this.#clock = options.clock;
    this.#counters = options.counters;
    this.#requests = new RequestTracker(options.clock, options.counters);
    this.#bounds = { maxFrameBytes: 16 << 20, maxQueueBytes: 32 << 20, dialMs: 1000, ...options.bounds };
  }

  async listen(): Promise<void> {
    const server = createServer((socket) => this.#adopt(socket));
    this.#server = server;
    const { host, port } = addressParts(this.#listen);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  serve<B, R>(call: Call<B, R>, handle: (body: B) => Promise<R>): void {
    this.#requests.serve(call, handle);
  }

  ask<B, R>(to: Address, call: Call<B, R>, body: B, waitMs: number): Promise<R> {
    const connection = this.#connectionTo(to);
    const unanswered = this.#unanswered.get(connection);
    if (unanswered?.bytes !== connection.bytes) this.#unanswered.set(connection, { bytes: connection.bytes, sinceMs: this.#clock.nowMs() });
    const response = this.#requests.ask(connection, (frame) => connection.send(frame), call, body, waitMs);
    response.catch(() => this.#doubt(to, connection, this.#bounds.dialMs));
    return response;
  }

  tell<B, R>(to: Address, call: Call<B, R>, body: B): void {
    this.#connectionTo(to).send({ kind: 'tell', call: call.name, body });
  }

  /**
   * What was sent to a machine that lost its power is sent again ever more rarely, so that a circuit of before holds up
   * whatever follows long after the machine is back. One that brought nothing for so long ends, and the next word dials anew.
   */
  #doubt(to: Address, connection: Connection, patienceMs: number): void {
    const unanswered = this.#unanswered.get(connection);
    if (unanswered === undefined || unanswered.bytes !== connection.bytes || this.#clock.nowMs() - unanswered.sinceMs < patienceMs) return;
    this.#counters.add('wire.abandoned');
    this.#unanswered.delete(connection);
    this.#forget(to, connection);
    connection.close();
  }

  #connectionTo(to: Address): Connection {
    const known = this.#dialled.get(to);
    if (known !== undefined) return known;
    const { host, port } = addressParts(to);
    const socket = connect({ host, port, localAddress: addressParts(this.#listen).host });
    // A dial into the dark must end soon, or a returning machine would wait behind it.
    const cancel = this.#clock.after(this.#bounds.dialMs, () => {
      if (socket.connecting) socket.destroy();
    });
    let connected = false;
    socket.once('connect', () => {
      connected = true;
      cancel();
    });
    const connection = this.#adopt(socket, (gone) => {
      cancel();
      this.#forget(to, gone);
      // What waited for a dial that failed was never sent.
      this.#requests.lost(gone, connected);
    });
    this.#dialled.set(to, connection);
    return connection;
  }

  /** Only this circuit: another may have been dialled in its place. */
  #forget(to: Address, connection: Connection): void {
    if (this.#dialled.get(to) === connection) this.#dialled.delete(to);
  }

  #adopt(socket: Socket, closed: (connection: Connection) => void = (connection) => this.#requests.lost(connection)): Connection {
    this.#sockets.add(socket);
    return new Connection(socket, { fleet: this.#fleet, from: this.here }, this.#bounds, this.#counters, {
      frame: (frame, connection) => this.#requests.take(frame, (reply) => connection.send(reply)),
      greeted: (from) => {
        // Who dials here is up: a circuit to it that is silent for a while is one to its former life.
        const dialled = this.#dialled.get(from);
        if (dialled !== undefined) this.#doubt(from, dialled, this.#bounds.dialMs / 4);
      },
      closed: (connection) => {
        this.#sockets.delete(socket);
        closed(connection);
      },
    });
  }
}
