import type { FastifyInstance } from 'fastify';
import { check } from '@pewterlanding/model';
import { changeAnswer } from './changeAnswer.js';
import { ChangeBody } from './changeBody.js';
import { configurationChangeOf } from './configurationChangeOf.js';
import type { OperatorApi } from './operatorApi.js';
import { sendError } from './sendError.js';

/** The configuration in force, changes to it in one call, its history, and the audit trail. */
export function configurationRoutes(app: FastifyInstance, operatorApi: OperatorApi): void {
  app.get('/v1/configuration', async () => {
    const { version, configuration } = await operatorApi.configuration();
    return { version, configuration: configuration ?? null };
  });

  app.post('/v1/configuration', async (request, reply) => {
    const body = check(ChangeBody, request.body);
    if (!body.ok) return sendError(reply, 400, 'the change cannot be read', body.findings);
    const outcome = await operatorApi.set(configurationChangeOf(body.value));
    const answer = changeAnswer(outcome);
    return reply.code(answer.status).send(answer.body);
  });

  app.get('/v1/configuration/history', async () => ({ history: await operatorApi.history() }));
  app.get('/v1/audit', () => operatorApi.audit());
}
