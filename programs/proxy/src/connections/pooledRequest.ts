import { errors } from 'undici';
import type { Client, Dispatcher } from 'undici';
import { headerOf } from '../headers/headerOf.js';
import { MisdirectedResponseError } from './misdirectedResponseError.js';
import type { RequestControl } from './requestControl.js';
import type { ResponseReader } from './responseReader.js';

interface PooledRequestOptions {
  readonly client: Client;
  readonly id: string;
  readonly idHeader: string;
  readonly reader: ResponseReader;
  /** The response was read to its end; `closing` when the replica closes the connection after it. */
  readonly completed: (closing: boolean) => void;
  /** The connection was destroyed. */
  readonly destroyed: () => void;
}

/**
 * One request on one connection. The reader is called only for the response that arrived while this request was in flight and that echoes
 * its id; any other response destroys the connection. After its end the reader gets no further calls.
 */
export class PooledRequest implements RequestControl {
  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => this.#start(controller),
    onResponseStart: (controller, status, headers, reason) => {
      if (!this.#isOver && status >= 200) this.#head(flatHeaders(controller.rawHeaders), status, headers['connection'], reason);
    },
    onResponseData: (_controller, chunk) => {
      if (!this.#isOver) this.#options.reader.data(chunk);
    },
    onResponseEnd: () => this.#end(),
    onResponseError: (_controller, error) => this.#fail(error),
  };
  readonly #options: PooledRequestOptions;
  #controller: Dispatcher.DispatchController | undefined;
  #isStarted = false;
  #isOver = false;
  #isClosing = false;

  constructor(options: PooledRequestOptions) {
    this.#options = options;
  }

  get begun(): boolean {
    return this.#isStarted;
  }

  abort(): void {
    if (!this.#isOver) this.#destroy(new errors.RequestAbortedError());
  }

  pause(): void {
    if (!this.#isOver) this.#controller?.pause();
  }

  resume(): void {
    if (!this.#isOver) this.#controller?.resume();
  }

  #start(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    // undici may restart a request on a new connection. A second start could run it twice: it is aborted before a byte leaves.
    if (this.#isOver || this.#isStarted) controller.abort(new errors.RequestAbortedError());
    else this.#isStarted = true;
  }

  #head(raw: readonly string[], status: number, connection: string | string[] | undefined, reason: string | undefined): void {
    if (headerOf(raw, this.#options.idHeader) !== this.#options.id) return this.#fail(new MisdirectedResponseError());
    this.#isClosing = String(connection ?? '')
      .toLowerCase()
      .includes('close');
    this.#options.reader.head(status, reason ?? '', raw);
  }

  #end(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#options.completed(this.#isClosing);
    this.#options.reader.end();
  }

  #fail(error: Error): void {
    if (this.#isOver) return;
    this.#destroy(error);
    this.#options.reader.failed(error, this.#howFailed(error));
  }

  #howFailed(error: Error): 'sent' | 'unsent' | 'unfit' {
    if (this.#isStarted) return 'sent';
    const isUnfit = error instanceof errors.InvalidArgumentError || error instanceof errors.NotSupportedError;
    return isUnfit ? 'unfit' : 'unsent';
  }

  #destroy(reason: Error): void {
    this.#isOver = true;
    this.#options.destroyed();
    // The controller fails a request in flight and destroys its socket; the client covers requests that have no connection yet.
    this.#controller?.abort(reason);
    this.#options.client.destroy(reason).catch(() => undefined);
  }
}

/** Header bytes as they were received, as latin1. */
function flatHeaders(raw: Dispatcher.DispatchController['rawHeaders']): string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map((item) => (typeof item === 'string' ? item : item.toString('latin1')));
}
