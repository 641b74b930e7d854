import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { Replica } from '@pewterlanding/agent';
import type { BatchView } from '@pewterlanding/store';
import { check, renameFields, BatchId, ServiceName, TaskId } from '@pewterlanding/model';
import type { Counters } from '@pewterlanding/runtime';
import type { FrontProxy } from '../frontProxy.js';
import { BatchBody } from '../batch-api/batchBody.js';
import { proxyServer } from './proxyServer.js';
import { sendError } from './sendError.js';
import { sendReturn } from './sendReturn.js';
import { TaskBody } from './taskBody.js';

interface ProxyHttpOptions {
  readonly proxy: FrontProxy;
  readonly counters: Counters;
  /** Makes the ids of tasks, unique over all fronts and lives. */
  readonly nextTask: () => string;
  readonly maxBodyBytes: number;
}

const pageItems = 200;
/** Paths of the batch API with their field names; `/v1/lots` is answered in its old form for one version more. */
const batchPaths = [
  ['/v1/batches', { limit: 'limit', batch: 'batch', position: 'position', view: (view: BatchView): unknown => view }],
  [
    '/v1/lots',
    { limit: 'most', batch: 'lot', position: 'place', view: ({ quota, ...view }: BatchView): unknown => ({ ...view, branch: quota }) },
  ],
] as const;
/** Anything else is an opaque task, and a route's. */
const ownPath = /^\/(v1\/|(ready|status)(\?|$))/;

/** What callers, replicas and the platform reach by HTTP. */
export function proxyHttp(options: ProxyHttpOptions): FastifyInstance {
  const { proxy, counters } = options;
  const server = proxyServer({
    proxyHandler: proxy.proxyHandler,
    limits: () => proxy.limits,
    own: (_host, url) => ownPath.test(url),
    leaving: () => proxy.leaving,
    counters,
  });
  const app = Fastify({ bodyLimit: options.maxBodyBytes, forceCloseConnections: true, ...server });

  app.get('/ready', async (_request, reply) => {
    const { ready, reason } = proxy.ready();
    return reply.code(ready ? 200 : 503).send({ ready, why: reason });
  });
  app.get('/status', async () => ({ ...proxy.status(), counters: counters.all() }));

  app.post<{ Params: { service: string } }>('/v1/services/:service/tasks', async (request, reply) => {
    const service = check(ServiceName, request.params.service);
    if (!service.ok) return sendError(reply, 404, 'no such service');
    const id = check(TaskId, options.nextTask());
    const body = check(TaskBody, request.body);
    if (!body.ok) return sendError(reply, 400, 'the task cannot be read', body.findings);
    if (!id.ok) throw new Error('unreachable: ids made here can be read');
    const task = { id: id.value, quota: quotaOf(request), service: service.value, input: JSON.stringify(body.value.input) };
    return sendReturn(proxy, task, reply);
  });

  app.post('/v1/replicas', async (request, reply) => {
    const replica = check(Replica, renameFields(request.body, { life: 'instance' }));
    if (!replica.ok) return sendError(reply, 400, 'the announcement cannot be read', replica.findings);
    if (proxy.routingState.tables.configuration === undefined) return sendError(reply, 503, 'this front has no setup yet');
    const told = proxy.announce(replica.value);
    if (told === 'taken') return reply.code(204).send();
    return sendError(reply, told === 'unknown service' ? 404 : told === 'not allowed' ? 403 : 409, told);
  });

  for (const [path, names] of batchPaths) {
    app.post(path, async (request, reply) => {
      const key = header(request, 'idempotency-key');
      if (key === undefined || key.length === 0 || key.length > 200)
        return sendError(reply, 400, 'an Idempotency-Key of 1 to 200 characters is needed', [
          { place: 'Idempotency-Key', message: 'is missing or too long' },
        ]);
      const body = check(BatchBody, request.body);
      if (!body.ok) return sendError(reply, 400, 'the batch cannot be read', body.findings);
      const submitted = await proxy.batches.hand(quotaOf(request), key, body.value).catch(() => undefined);
      // Whether it was accepted is not known: the same key may be sent again without harm.
      if (submitted === undefined) return sendError(reply, 504, 'outcome unknown; send it again with the same key');
      counters.add(`lots.${submitted.kind}`);
      if (submitted.kind === 'made') return reply.code(201).header('location', `${path}/${submitted.batch}`).send({ id: submitted.batch });
      if (submitted.status === 503) void reply.header('retry-after', '1');
      return sendError(reply, submitted.status, submitted.reason, submitted.findings);
    });

    app.get<{ Params: { batch: string } }>(`${path}/:batch`, async (request, reply) => {
      const view = await withBatch(request.params.batch, (batch) => proxy.batches.read(batch));
      if (view === 'silent') return silent(reply);
      return view === undefined ? sendError(reply, 404, 'no such batch') : reply.send(names.view(view));
    });

    app.get<{ Params: { batch: string }; Querystring: { after?: string; limit?: string; most?: string } }>(
      `${path}/:batch/results`,
      async (request, reply) => {
        const after = Number(request.query.after ?? 0);
        const limit = Math.min(pageItems, Number(request.query[names.limit] ?? pageItems));
        if (!Number.isInteger(after) || after < 0)
          return sendError(reply, 400, 'the cursor cannot be read', [{ place: 'after', message: 'must be a whole number from 0' }]);
        if (!Number.isInteger(limit) || limit < 1)
          return sendError(reply, 400, 'the count cannot be read', [{ place: names.limit, message: 'must be a whole number from 1' }]);
        const page = await withBatch(request.params.batch, (batch) => proxy.batches.results(batch, after, limit));
        if (page === 'silent') return silent(reply);
        if (page === undefined) return sendError(reply, 404, 'no such batch');
        const results = page.results.map(({ id, position, state, result }) => ({
          id,
          [names.position]: position,
          state,
          output: result === undefined ? undefined : readJson(result),
        }));
        return reply.send({ [names.batch]: names.view(page.batch), results, next: page.next, done: page.done });
      },
    );

    app.delete<{ Params: { batch: string } }>(`${path}/:batch`, async (request, reply) => {
      const ended = await withBatch(request.params.batch, async (batch) => ((await proxy.batches.end(batch)) ? true : undefined));
      if (ended === 'silent') return silent(reply);
      return ended === undefined ? sendError(reply, 404, 'no such batch') : reply.code(204).send();
    });
  }

  app.setNotFoundHandler((_request, reply) => sendError(reply, 404, 'nothing here'));
  app.setErrorHandler((error, _request, reply) => {
    const status =
      typeof error === 'object' && error !== null && 'statusCode' in error && typeof error.statusCode === 'number' ? error.statusCode : 500;
    counters.add(`http.error.${status}`);
    const message = error instanceof Error ? error.message : 'failed';
    return sendError(reply, status, status >= 500 ? 'failed' : message, status === 400 ? [{ place: 'body', message }] : undefined);
  });
  return app;
}

/** 'silent' when no leader of the batch's shard could be reached. */
async function withBatch<T>(text: string, run: (batch: BatchId) => Promise<T | undefined>): Promise<T | undefined | 'silent'> {
  const batch = check(BatchId, text);
  if (!batch.ok) return undefined;
  try {
    return await run(batch.value);
  } catch {
    return 'silent';
  }
}

function silent(reply: FastifyReply): FastifyReply {
  void reply.header('retry-after', '1');
  return sendError(reply, 503, 'the batch cannot be reached now');
}

/** The quota that a caller names; `branch` is the header's old name, answered for one version more. */
function quotaOf(request: FastifyRequest): string | undefined {
  return header(request, 'quota') ?? header(request, 'branch');
}

function header(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function readJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
