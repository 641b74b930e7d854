import type { Counters } from '@pewterlanding/runtime';
import { endToEnd, headerOf } from '../headers/index.js';
import type { HeaderNames } from '../headers/index.js';
import type { Refusal } from './refusal.js';
import type { ResponseWriter } from './responseWriter.js';
import type { WholeResponse } from './wholeResponse.js';

interface ResponseSenderOptions {
  readonly headerNames: HeaderNames;
  readonly counters: Counters;
  /** Called at each response of a replica that was passed on. */
  readonly served?: () => void;
}

/** Writes whole responses and refusals to clients. */
export class ResponseSender {
  readonly #options: ResponseSenderOptions;

  constructor(options: ResponseSenderOptions) {
    this.#options = options;
  }

  /** Passes a replica's response on. */
  send(writer: ResponseWriter, { status, reason, headers: received, body }: WholeResponse): void {
    const headers = endToEnd(received, []);
    const length = headerOf(received, 'content-length');
    // The response to HEAD states the length of a body that it does not have.
    if (body.length > 0 || (status !== 204 && status !== 304)) headers.push('content-length', length ?? String(body.length));
    writer.head(status, reason, headers);
    writer.end(body.length > 0 ? body : undefined);
    this.#options.served?.();
    this.#options.counters.add(`exchange.${status}`);
  }

  /** Responds with the proxy's own error. */
  refuse(writer: ResponseWriter, { status, error, retryAfterMs }: Omit<Refusal, 'kind'>): void {
    const { headerNames, counters } = this.#options;
    const body = Buffer.from(JSON.stringify({ error }));
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)];
    if (retryAfterMs !== undefined) headers.push(headerNames.retryAfter, String(Math.ceil(retryAfterMs) / 1000));
    writer.head(status, '', headers);
    writer.end(body);
    counters.add(`exchange.own.${status}`);
  }
}
