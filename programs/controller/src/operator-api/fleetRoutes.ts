import type { FastifyInstance } from 'fastify';
import { check, NodeName } from '@pewterlanding/model';
import type { FleetViews } from './fleetViews.js';
import type { OperatorApi } from './operatorApi.js';
import { sendError } from './sendError.js';

type StorePath = { Params: { name: string } };

/** Machines, shards, roles, quotas and batches, and the emptying of stores. */
export function fleetRoutes(app: FastifyInstance, operatorApi: OperatorApi, views: FleetViews): void {
  app.get('/v1/nodes', async () => ({ nodes: await views.nodes() }));
  app.get('/v1/shards', async () => ({ shards: await views.shards() }));
  app.get('/v1/roles', async () => ({ roles: (await operatorApi.configuration()).singletonRoles }));
  app.get('/v1/batches', async () => ({ batches: await views.batches() }));
  app.get('/v1/quotas', async (_request, reply) => {
    const quotas = await views.quotas();
    if (quotas === undefined) return sendError(reply, 503, 'nobody holds the dispatcher role now');
    return reply.send(quotas);
  });

  app.post<StorePath>('/v1/stores/:name/empty', async (request, reply) => {
    const name = check(NodeName, request.params.name);
    const outcome = name.ok ? await operatorApi.empty(name.value) : 'unknown';
    if (outcome === 'unknown') return sendError(reply, 404, 'no such store');
    if (outcome === 'too few') return sendError(reply, 409, 'too few stores would be left for the copies');
    return reply.code(202).send({ outcome });
  });
  app.get<StorePath>('/v1/stores/:name/empty', async (request, reply) => {
    const name = check(NodeName, request.params.name);
    const outcome = name.ok ? await operatorApi.emptied(name.value) : 'unknown';
    if (outcome === 'unknown') return sendError(reply, 404, 'no such store is being emptied');
    return reply.send({ outcome });
  });
}
