import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Limits } from '@pewterlanding/model';
import type { ProxiedRequest } from '../forwarding/proxiedRequest.js';
import type { ProxyHandler } from '../forwarding/proxyHandler.js';
import type { ResponseWriter } from '../forwarding/responseWriter.js';
import type { RouteMatch } from '../routing/routeMatch.js';
import type { ClientConnections } from './clientConnections.js';
import { requestBody } from './requestBody.js';
import { responseWriterOf } from './responseWriterOf.js';

interface OpaqueRequestsOptions {
  readonly proxyHandler: ProxyHandler;
  readonly connections: ClientConnections;
  /** Read at each request: a new configuration may change them. */
  readonly limits: () => Limits;
  readonly isLeaving: () => boolean;
  /** Handles requests whose route is for batches; without it they are handled as live tasks. */
  readonly batch?: (task: ProxiedRequest, routeMatch: RouteMatch, writer: ResponseWriter, abort: AbortSignal) => Promise<void>;
}

/** Handles requests for opaque tasks, whose paths and bodies are not parsed. */
export class OpaqueRequests {
  readonly #options: OpaqueRequestsOptions;

  constructor(options: OpaqueRequestsOptions) {
    this.#options = options;
  }

  /** Resolves when the response has been written, or when nobody waits for it any more. */
  async handle(request: IncomingMessage, response: ServerResponse, host: string, url: string): Promise<void> {
    const { connections, limits, isLeaving } = this.#options;
    const connection = connections.of(request);
    const exchange = connection.open(request, response);
    response.on('error', () => undefined);
    const body = await requestBody(request, limits().bodyBytes);
    if (body === undefined) return;
    const writer = responseWriterOf(response, isLeaving);
    if (body === 'too large') {
      response.shouldKeepAlive = false;
      writer.head(413, '', ['content-length', '0']);
      return writer.end();
    }
    if (!(await connection.turn(exchange))) return;
    const task = { method: request.method ?? 'GET', host, url, headers: request.rawHeaders, body };
    await this.#run(task, writer, exchange.abort.signal);
  }

  async #run(task: ProxiedRequest, writer: ResponseWriter, abort: AbortSignal): Promise<void> {
    const { proxyHandler, batch } = this.#options;
    await proxyHandler.started(task, abort);
    const routeMatch = batch === undefined ? undefined : proxyHandler.find(task.host, task.url);
    if (routeMatch?.route.kind === 'batch' && batch !== undefined) await batch(task, routeMatch, writer, abort);
    else await proxyHandler.carry(task, writer, abort);
  }
}
