import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { Replica } from '@pewterlanding/agent';
import { check, renameFields, ServiceName, TaskId } from '@pewterlanding/model';
import type { Counters, HttpDrain } from '@pewterlanding/runtime';
import { GeneratedIdError } from '../batch-api/index.js';
import type { FrontProxy } from '../front-proxy/index.js';
import { BatchApi } from './batchApi.js';
import { batchApiVersion1 } from './batchApiVersion1.js';
import { batchApiVersion2 } from './batchApiVersion2.js';
import { proxyServer } from './proxyServer.js';
import { requestHeaders } from './requestHeaders.js';
import { sendError } from './sendError.js';
import { sendReturn } from './sendReturn.js';
import { TaskBody } from './taskBody.js';

interface ProxyHttpOptions {
  readonly proxy: FrontProxy;
  readonly counters: Counters;
  /** Generates task ids, unique over all proxies and their starts. */
  readonly nextTask: () => string;
  readonly maxBodyBytes: number;
}

type TaskRequest = FastifyRequest<{ Params: { service: string } }>;

/** Paths of this interface; every other request is an opaque task. */
const ownPath = /^\/(v1\/|(ready|status)(\?|$))/;
const announcementStatus = { 'unknown service': 404, 'not allowed': 403, 'stale incarnation': 409 } as const;

/** The product's own HTTP interface at a proxy, for callers, replicas and the platform. */
export function proxyHttp(options: ProxyHttpOptions): { readonly app: FastifyInstance; readonly drain: HttpDrain } {
  const { proxy, counters } = options;
  const { drain, ...server } = proxyServer({
    proxyHandler: proxy.proxyHandler,
    limits: () => proxy.limits,
    own: (_host, url) => ownPath.test(url),
    leaving: () => proxy.leaving,
    counters,
  });
  const app = Fastify({ bodyLimit: options.maxBodyBytes, forceCloseConnections: true, ...server });
  app.get('/ready', (_request, reply) => sendReadiness(proxy, reply));
  app.get('/status', async () => ({ ...proxy.status(), counters: counters.all() }));
  app.post('/v1/services/:service/tasks', (request: TaskRequest, reply) => runTask(options, request, reply));
  app.post('/v1/replicas', (request, reply) => announceReplica(proxy, request, reply));
  for (const format of [batchApiVersion2, batchApiVersion1]) new BatchApi({ app, batches: proxy.batches, counters, format }).register();
  app.setNotFoundHandler((_request, reply) => sendError(reply, 404, 'nothing here'));
  app.setErrorHandler((error, _request, reply) => sendThrown(error, reply, counters));
  return { app, drain };
}

async function sendReadiness(proxy: FrontProxy, reply: FastifyReply): Promise<FastifyReply> {
  const { ready, reason } = proxy.ready();
  return reply.code(ready ? 200 : 503).send({ ready, why: reason });
}

async function runTask({ proxy, nextTask }: ProxyHttpOptions, request: TaskRequest, reply: FastifyReply): Promise<FastifyReply> {
  const service = check(ServiceName, request.params.service);
  if (!service.ok) return sendError(reply, 404, 'no such service');
  const id = check(TaskId, nextTask());
  const body = check(TaskBody, request.body);
  if (!body.ok) return sendError(reply, 400, 'the task cannot be read', body.findings);
  if (!id.ok) throw new GeneratedIdError('task');
  const quota = requestHeaders.quota(request);
  return sendReturn(proxy, { id: id.value, quota, service: service.value, input: JSON.stringify(body.value.input) }, reply);
}

async function announceReplica(proxy: FrontProxy, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
  // `life` is the old name of the field, accepted for one version more.
  const replica = check(Replica, renameFields(request.body, { life: 'instance' }));
  if (!replica.ok) return sendError(reply, 400, 'the announcement cannot be read', replica.findings);
  if (proxy.routingState.tables.configuration === undefined) return sendError(reply, 503, 'this front has no configuration yet');
  const outcome = proxy.announce(replica.value);
  if (outcome === 'accepted') return reply.code(204).send();
  return sendError(reply, announcementStatus[outcome], outcome);
}

/** Faults of a request that Fastify finds carry a status; anything else is a failure whose text stays inside. */
function sendThrown(error: unknown, reply: FastifyReply, counters: Counters): FastifyReply {
  const status = statusOf(error);
  counters.add(`http.error.${status}`);
  if (status >= 500) return sendError(reply, status, 'failed');
  const message = error instanceof Error ? error.message : 'failed';
  return sendError(reply, status, message, status === 400 ? [{ place: 'body', message }] : undefined);
}

function statusOf(error: unknown): number {
  if (typeof error !== 'object' || error === null || !('statusCode' in error)) return 500;
  return typeof error.statusCode === 'number' ? error.statusCode : 500;
}
