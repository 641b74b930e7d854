import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Limits } from '@pewterlanding/model';
import type { Counters } from '@pewterlanding/runtime';
import { ClientConnection } from '../connections/clientConnection.js';
import type { ProxiedRequest } from '../forwarding/proxiedRequest.js';
import type { ProxyHandler } from '../forwarding/proxyHandler.js';
import type { ResponseWriter } from '../forwarding/responseWriter.js';
import type { RouteMatch } from '../routing/routeMatch.js';

interface ProxyServerOptions {
  readonly proxyHandler: ProxyHandler;
  /** Read at each task: a setup may change them. */
  readonly limits: () => Limits;
  /** Whether a request is for the interface's own paths. */
  readonly own: (host: string, url: string) => boolean;
  readonly leaving: () => boolean;
  readonly counters: Counters;
  /** Takes tasks whose route is for lots. */
  readonly batch?: (task: ProxiedRequest, routeMatch: RouteMatch, writer: ResponseWriter, abort: AbortSignal) => Promise<void>;
}

interface ProxyServer {
  readonly serverFactory: (own: RequestListener) => Server;
  readonly clientErrorHandler: (error: Error & { readonly code?: string }, socket: Duplex) => void;
}

/** How often slow heads are looked for, as a shard of the time they have. */
const lookRatio = 1 / 3;

/**
 * The server under an HTTP interface, to be handed to Fastify whole: opaque tasks are read and returned on the bare server,
 * so that neither their paths nor their bodies are parsed, and only what is `own` goes on to Fastify.
 */
export function proxyServer(options: ProxyServerOptions): ProxyServer {
  const { proxyHandler, limits, own, leaving, counters, batch } = options;
  const connections = new WeakMap<Duplex, ClientConnection>();

  const connectionOf = ({ socket }: IncomingMessage): ClientConnection => {
    const connection = connections.get(socket) ?? new ClientConnection(socket);
    connections.set(socket, connection);
    return connection;
  };

  const take = async (request: IncomingMessage, response: ServerResponse, host: string, url: string): Promise<void> => {
    const connection = connectionOf(request);
    const exchange = connection.open(request, response);
    const { signal } = exchange.abort;
    response.on('error', () => undefined);
    if (leaving()) response.shouldKeepAlive = false;
    const body = await read(request, limits().bodyBytes);
    if (body === undefined) return;
    const writer = writerOf(response, leaving);
    if (body === 'too large') {
      response.shouldKeepAlive = false;
      writer.head(413, '', ['content-length', '0']);
      return writer.end();
    }
    if (!(await connection.turn(exchange))) return;
    const task = { method: request.method ?? 'GET', host, url, headers: request.rawHeaders, body };
    await proxyHandler.started(task, signal);
    const routeMatch = batch === undefined ? undefined : proxyHandler.find(host, url);
    if (routeMatch?.route.kind === 'batch' && batch !== undefined) await batch(task, routeMatch, writer, signal);
    else await proxyHandler.carry(task, writer, signal);
  };

  return {
    serverFactory: (rest) => {
      const now = limits();
      const server = createServer(
        {
          maxHeaderSize: now.headerBytes,
          headersTimeout: now.headerMs,
          requestTimeout: now.headerMs + now.idleMs,
          keepAliveTimeout: now.idleMs,
          connectionsCheckingInterval: Math.max(1, Math.floor(now.headerMs * lookRatio)),
          noDelay: true,
        },
        (request, response) => {
          const host = request.headers.host ?? '';
          const url = request.url ?? '/';
          if (own(host, url)) {
            connectionOf(request).open(request, response);
            return rest(request, response);
          }
          // Setups come later than the server.
          const { headerMs, idleMs } = limits();
          server.headersTimeout = headerMs;
          server.requestTimeout = headerMs + idleMs;
          server.keepAliveTimeout = idleMs;
          take(request, response, host, url).catch(() => {
            counters.add('http.failed');
            response.destroy();
          });
        },
      );
      return server;
    },
    clientErrorHandler: (error, socket) => {
      counters.add('http.clientError');
      const status =
        error.code === 'HPE_HEADER_OVERFLOW'
          ? '431 Request Header Fields Too Large'
          : error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
            ? '408 Request Timeout'
            : '400 Bad Request';
      // While a response is owed here, an answer to something else would be taken for it.
      if (socket.writable && error.code !== 'ECONNRESET' && (connections.get(socket)?.mayRefuse ?? true))
        socket.write(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
      socket.destroy(error);
    },
  };
}

/** The whole body; undefined when the downstream broke off before its end: then nothing was sent, and nobody waits. */
function read(request: IncomingMessage, limit: number): Promise<Buffer | 'too large' | undefined> {
  if (Number(request.headers['content-length'] ?? 0) > limit) return Promise.resolve('too large');
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limit) {
        chunks.length = 0;
        request.pause();
        return resolve('too large');
      }
      chunks.push(chunk);
    });
    request.on('end', () => {
      const [only] = chunks;
      resolve(chunks.length === 1 && only !== undefined ? only : Buffer.concat(chunks));
    });
    request.on('error', () => resolve(undefined));
    request.on('close', () => resolve(undefined));
  });
}

function writerOf(response: ServerResponse, leaving: () => boolean): ResponseWriter {
  return {
    head: (status, reason, headers) => {
      if (response.headersSent || response.destroyed) return;
      // Asked again: it may have been told to leave while the task ran.
      if (leaving()) response.shouldKeepAlive = false;
      if (reason === '') response.writeHead(status, [...headers]);
      else response.writeHead(status, reason, [...headers]);
    },
    write: (chunk) => response.destroyed || response.write(chunk),
    drained: (run) => void response.once('drain', run),
    end: (chunk) => {
      if (response.destroyed) return;
      if (chunk === undefined) response.end();
      else response.end(chunk);
    },
    destroy: () => {
      // A return that was queued behind another on this connection has no socket yet: the request knows it.
      response.req.socket.destroy();
      response.destroy();
    },
  };
}
