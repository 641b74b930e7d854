import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { configurationRoutes } from './configurationRoutes.js';
import { fleetRoutes } from './fleetRoutes.js';
import { FleetViews } from './fleetViews.js';
import { OperatorApi } from './operatorApi.js';
import { operatorApiVersion1 } from './operatorApiVersion1.js';
import type { OperatorHttpOptions } from './operatorHttpOptions.js';
import { planRoutes } from './planRoutes.js';
import { sendError } from './sendError.js';

const maxBodyBytes = 8 << 20;

/** The operators' HTTP interface, the same at any controller machine. */
export function controllerHttp(options: OperatorHttpOptions): FastifyInstance {
  const { controller, clock, waitMs } = options;
  const app = Fastify({ bodyLimit: maxBodyBytes, forceCloseConnections: true });
  const operatorApi = new OperatorApi({ finder: controller.finder, clock, waitMs });
  const views = new FleetViews(options);
  planRoutes(app, operatorApi, options.nextPlan);
  configurationRoutes(app, operatorApi);
  fleetRoutes(app, operatorApi, views);
  operatorApiVersion1.routes(app, operatorApi, views);
  healthRoutes(app, views, options);
  answerErrors(app);
  return app;
}

function healthRoutes(app: FastifyInstance, views: FleetViews, options: OperatorHttpOptions): void {
  const { controller, membership, timeline, counters } = options;
  app.get('/ready', async (_request, reply) => {
    const ready = await views.ready();
    return reply.code(ready ? 200 : 503).send({ ready });
  });
  app.get('/status', async () => ({
    name: membership.name,
    shard: controller.member?.view(),
    singletonRole: controller.singletonRole(),
    ...operatorApiVersion1.status(controller.singletonRole()),
    startup: timeline.stages(),
    counters: counters.all(),
  }));
}

/** Fastify's own errors keep their status; any other may be tried again at another controller, or later. */
function answerErrors(app: FastifyInstance): void {
  app.setNotFoundHandler((_request, reply) => sendError(reply, 404, 'nothing here'));
  app.setErrorHandler((error, _request, reply) => {
    const status = statusOf(error);
    const message = error instanceof Error ? error.message : 'failed';
    const findings = status === 400 ? [{ place: 'body', message }] : undefined;
    return sendError(reply, status, message, findings);
  });
}

function statusOf(error: unknown): number {
  if (typeof error !== 'object' || error === null || !('statusCode' in error)) return 503;
  return typeof error.statusCode === 'number' ? error.statusCode : 503;
}
