import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Limits } from '@pewterlanding/model';
import { HttpDrain } from '@pewterlanding/runtime';
import type { Counters } from '@pewterlanding/runtime';
import type { ProxiedRequest } from '../forwarding/proxiedRequest.js';
import type { ProxyHandler } from '../forwarding/proxyHandler.js';
import type { ResponseWriter } from '../forwarding/responseWriter.js';
import type { RouteMatch } from '../routing/routeMatch.js';
import type { ClientConnection } from '../connections/clientConnection.js';
import { shutdownCounters } from '../connections/shutdownCounters.js';
import { ClientConnections } from './clientConnections.js';
import { OpaqueRequests } from './opaqueRequests.js';

interface ProxyServerOptions {
  readonly proxyHandler: ProxyHandler;
  /** Read at each request: a new configuration may change them. */
  readonly limits: () => Limits;
  /** Whether a request is for the interface's own paths. */
  readonly own: (host: string, url: string) => boolean;
  readonly leaving: () => boolean;
  readonly counters: Counters;
  /** Handles requests whose route is for batches. */
  readonly batch?: (task: ProxiedRequest, routeMatch: RouteMatch, writer: ResponseWriter, abort: AbortSignal) => Promise<void>;
}

/** What the request handler of a server shares with its shutdown. */
interface ServerParts {
  readonly connections: ClientConnections;
  readonly drain: HttpDrain;
  readonly opaqueRequests: OpaqueRequests;
}

type ClientError = Error & { readonly code?: string };

interface ProxyServer {
  readonly serverFactory: (own: RequestListener) => Server;
  readonly clientErrorHandler: (error: ClientError, socket: Duplex) => void;
  /** Shuts the server down that `serverFactory` made. */
  readonly drain: HttpDrain;
}

/** How often connections with slow headers are looked for, as a part of the time that headers have. */
const headersCheckRatio = 1 / 3;
const badRequest = '400 Bad Request';
/** Statuses of requests that Node's parser rejects, by the code of the error. */
const statusOfError: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * The server under an HTTP interface, in the form that Fastify accepts. Opaque tasks are read and answered on Node's server itself,
 * so that neither their paths nor their bodies are parsed; only what is `own` goes on to Fastify.
 */
export function proxyServer(options: ProxyServerOptions): ProxyServer {
  const { proxyHandler, limits, leaving, batch, counters } = options;
  const connections = new ClientConnections(leaving);
  const drain = new HttpDrain();
  const opaqueRequests = new OpaqueRequests({ proxyHandler, connections, limits, isLeaving: leaving, ...(batch && { batch }) });
  return {
    drain,
    serverFactory: (ownListener) => serverOf(options, { connections, drain, opaqueRequests }, ownListener),
    clientErrorHandler: (error, socket) => {
      counters.add('http.clientError');
      const mayRefuse = socket.writable && error.code !== 'ECONNRESET' && connections.mayRefuse(socket);
      if (mayRefuse) socket.write(`HTTP/1.1 ${statusLineOf(error)}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
      socket.destroy(error);
    },
  };
}

function serverOf(
  { limits, own, leaving, counters }: ProxyServerOptions,
  { connections, drain, opaqueRequests }: ServerParts,
  ownListener: RequestListener,
): Server {
  const { headerBytes, headerMs } = limits();
  const server = createServer({
    maxHeaderSize: headerBytes,
    connectionsCheckingInterval: Math.max(1, Math.floor(headerMs * headersCheckRatio)),
    noDelay: true,
  });
  applyTimeouts(server, limits());
  drain.attach(server);
  server.on('connection', (socket) => connections.register(socket));
  server.on('request', (request, response) => {
    const connection = connections.of(request);
    if (leaving()) {
      counters.add(shutdownCounter(connection));
      response.shouldKeepAlive = false;
    }
    if (drain.isBegun) return refuse(connection, request, response);
    const host = request.headers.host ?? '';
    const url = request.url ?? '/';
    if (own(host, url)) {
      connection.open(request, response);
      return ownListener(request, response);
    }
    // A configuration with other limits may have arrived since the server was created.
    applyTimeouts(server, limits());
    opaqueRequests.handle(request, response, host, url).catch(() => {
      counters.add('http.failed');
      response.destroy();
    });
  });
  return server;
}

/**
 * Refuses a request that came after the drain had begun: another proxy can serve it at once. The request is read to its end first, as
 * closing a connection with unread bytes resets it, and the response with it.
 */
function refuse(connection: ClientConnection, request: IncomingMessage, response: ServerResponse): void {
  connection.open(request, response);
  response.on('error', () => undefined);
  request.once('end', () => response.writeHead(503, { 'content-length': '0', 'retry-after': '0' }).end());
  request.resume();
}

function applyTimeouts(server: Server, { headerMs, idleMs }: Limits): void {
  server.headersTimeout = headerMs;
  server.requestTimeout = headerMs + idleMs;
  server.keepAliveTimeout = idleMs;
}

/** Counts a request that came during the shutdown, by whether its client connected before. */
function shutdownCounter({ isOfShutdown }: ClientConnection): string {
  return isOfShutdown ? shutdownCounters.onNewConnection : shutdownCounters.onOpenConnection;
}

function statusLineOf({ code }: ClientError): string {
  return (code === undefined ? undefined : statusOfError.get(code)) ?? badRequest;
}
