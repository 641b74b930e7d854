import type { IncomingMessage } from 'node:http';
import type { Duplex } from 'node:stream';
import { ClientConnection } from '../connections/clientConnection.js';

/** The connections of a server's downstreams, by socket. */
export class ClientConnections {
  readonly #bySocket = new WeakMap<Duplex, ClientConnection>();

  /** The connection that a request came on. */
  of({ socket }: IncomingMessage): ClientConnection {
    const connection = this.#bySocket.get(socket) ?? new ClientConnection(socket);
    this.#bySocket.set(socket, connection);
    return connection;
  }

  /** Whether an error response may be written: while a response is due, the downstream would take it for that one. */
  mayRefuse(socket: Duplex): boolean {
    return this.#bySocket.get(socket)?.mayRefuse ?? true;
  }
}
