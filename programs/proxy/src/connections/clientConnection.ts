import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface RequestTracker {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly abort: AbortController;
  /** Set while it waits for the responses before it. */
  begin?: () => void;
}

/**
 * Requests of one client connection. Clients may pipeline, but each request begins only after the response before it was written: by a
 * response with `connection: close` the client knows that no later request was processed (RFC 9112, 9.3.2).
 */
export class ClientConnection {
  /** Whether the proxy was shutting down when it was opened. */
  readonly isOfShutdown: boolean;
  readonly #socket: Socket;
  /** In the order of their requests. */
  readonly #open: RequestTracker[] = [];

  constructor(socket: Socket, isOfShutdown: boolean) {
    this.#socket = socket;
    this.isOfShutdown = isOfShutdown;
    socket.once('close', () => {
      for (const { abort, begin } of this.#open.splice(0)) {
        abort.abort();
        begin?.();
      }
    });
  }

  /** Whether malformed bytes may be answered: no other response is pending, and none was begun for the request that they belong to. */
  get mayRefuse(): boolean {
    const first = this.#open[0];
    if (first === undefined) return true;
    return this.#open.length === 1 && !first.request.complete && !first.response.headersSent;
  }

  /** Registers a request; `abort` fires once its client can no longer receive the response. */
  open(request: IncomingMessage, response: ServerResponse): RequestTracker {
    const tracker: RequestTracker = { request, response, abort: new AbortController() };
    this.#open.push(tracker);
    response.on('close', () => {
      if (!response.writableFinished) tracker.abort.abort();
      const index = this.#open.indexOf(tracker);
      if (index >= 0) this.#open.splice(index, 1);
      this.#open[0]?.begin?.();
    });
    return tracker;
  }

  /** Resolves with true once all earlier responses were written; with false when the connection was closed before. */
  async turn(tracker: RequestTracker): Promise<boolean> {
    const mustWait = this.#open[0] !== tracker && !tracker.abort.signal.aborted;
    if (mustWait) await new Promise<void>((resolve) => (tracker.begin = resolve));
    return !tracker.abort.signal.aborted && !this.#socket.destroyed && !this.#socket.writableEnded;
  }
}
