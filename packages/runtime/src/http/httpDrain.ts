import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';

/**
 * Shuts an HTTP server down without cutting responses. `http.Server.close` does not: it destroys connections whose response was ended but
 * is not flushed, and leaves those open that a client goes on using.
 */
export class HttpDrain {
  /** Open requests by connection. */
  readonly #connections = new Map<Socket, number>();
  #server: Server | undefined;
  #isBegun = false;

  /** Call before the server accepts connections. */
  attach(server: Server): void {
    this.#server = server;
    server.on('connection', (socket) => this.#connected(socket));
    server.prependListener('request', (request, response) => this.#received(request, response));
  }

  /** Whether the server should refuse requests that arrive now. */
  get isBegun(): boolean {
    return this.#isBegun;
  }

  /** Requests whose response has not been handed to the operating system whole. */
  get openRequests(): number {
    return [...this.#connections.values()].reduce((sum, open) => sum + open, 0);
  }

  /** Stops listening, and closes every connection that has no open request; the others are closed after their last response. */
  begin(): void {
    if (this.#isBegun) return;
    this.#isBegun = true;
    if (this.#server !== undefined) NetServer.prototype.close.call(this.#server);
    for (const socket of this.#connections.keys()) this.#closeIfIdle(socket);
  }

  #connected(socket: Socket): void {
    this.#connections.set(socket, 0);
    socket.once('close', () => this.#connections.delete(socket));
    // Was in the queue of accepted connections.
    if (this.#isBegun) socket.destroy();
  }

  #received({ socket }: IncomingMessage, response: ServerResponse): void {
    this.#count(socket, 1);
    response.once('close', () => {
      this.#count(socket, -1);
      if (this.#isBegun) this.#closeIfIdle(socket);
    });
  }

  #count(socket: Socket, change: number): void {
    const open = this.#connections.get(socket);
    if (open !== undefined) this.#connections.set(socket, open + change);
  }

  #closeIfIdle(socket: Socket): void {
    if (this.#connections.get(socket) === 0) socket.end();
  }
}
