import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface RequestTracker {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly abort: AbortController;
  /** Set while it waits for the exchanges before it. */
  begin?: () => void;
}

/**
 * What one client connection has under way. Requests may be sent on it without waiting for responses, but each begins only after
 * the response before it has gone: a response that closes the connection tells the client that nothing behind it was read.
 */
export class ClientConnection {
  readonly #socket: Socket;
  /** In the order of their requests. */
  readonly #open: RequestTracker[] = [];

  constructor(socket: Socket) {
    this.#socket = socket;
    socket.once('close', () => {
      for (const { abort, begin } of this.#open.splice(0)) {
        abort.abort();
        begin?.();
      }
    });
  }

  /** Whether bytes that were no request may be answered: with no other response owed, and none begun for the request they spoil. */
  get mayRefuse(): boolean {
    const [only, ...more] = this.#open;
    if (only === undefined) return true;
    return more.length === 0 && !only.request.complete && !only.response.headersSent;
  }

  /** The signal fires once the client can have no response any more. */
  open(request: IncomingMessage, response: ServerResponse): RequestTracker {
    const exchange: RequestTracker = { request, response, abort: new AbortController() };
    this.#open.push(exchange);
    response.on('close', () => {
      if (!response.writableFinished) exchange.abort.abort();
      const at = this.#open.indexOf(exchange);
      if (at >= 0) this.#open.splice(at, 1);
      this.#open[0]?.begin?.();
    });
    return exchange;
  }

  /** True once it is its turn; false when the connection was closed before. */
  async turn(exchange: RequestTracker): Promise<boolean> {
    if (this.#open[0] !== exchange && !exchange.abort.signal.aborted) await new Promise<void>((resolve) => (exchange.begin = resolve));
    return !exchange.abort.signal.aborted && !this.#socket.destroyed && !this.#socket.writableEnded;
  }
}
