import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ClientConnection } from '../connections/clientConnection.js';

/** The connections of a server's downstreams, by socket. */
export class ClientConnections {
  readonly #bySocket = new WeakMap<Duplex, ClientConnection>();
  readonly #isLeaving: () => boolean;

  constructor(isLeaving: () => boolean) {
    this.#isLeaving = isLeaving;
  }

  /** Call when a downstream has connected. */
  register(socket: Socket): ClientConnection {
    const connection = new ClientConnection(socket, this.#isLeaving());
    this.#bySocket.set(socket, connection);
    return connection;
  }

  /** The connection that a request came on. */
  of({ socket }: IncomingMessage): ClientConnection {
    return this.#bySocket.get(socket) ?? this.register(socket);
  }

  /** Whether an error response may be written: while a response is due, the downstream would take it for that one. */
  mayRefuse(socket: Duplex): boolean {
    return this.#bySocket.get(socket)?.mayRefuse ?? true;
  }
}
