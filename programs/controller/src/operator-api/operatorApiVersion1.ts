import type { FastifyInstance } from 'fastify';
import * as v from 'valibot';
import type { SingletonRole } from '@pewterlanding/agent';
import { check, configurationFormat1, Count, renameFields } from '@pewterlanding/model';
import type { FieldRenamings } from '@pewterlanding/model';
import { changeAnswer } from './changeAnswer.js';
import { ChangeItems } from './changeItems.js';
import { configurationChangeOf } from './configurationChangeOf.js';
import { findingsVersion1 } from './findingsVersion1.js';
import type { FleetViews } from './fleetViews.js';
import { inverseRenamings } from './inverseRenamings.js';
import type { OperatorApi } from './operatorApi.js';
import { sendError } from './sendError.js';

const head = { basedOn: Count, mark: Count };
const ChangeBodyVersion1 = v.union(
  [v.strictObject({ ...head, whole: v.record(v.string(), v.unknown()) }), v.strictObject({ ...head, items: ChangeItems })],
  'must have "basedOn", "mark", and either "whole" or "items"',
);
const configurationVersion1 = inverseRenamings(configurationFormat1);
const role: FieldRenamings = { term: 'epoch' };
const quotas: FieldRenamings = { term: 'epoch', quotas: { to: 'branches', fields: { quota: 'branch' } } };
const batch: FieldRenamings = { quota: 'branch' };

type Configurations = Pick<OperatorApi, 'configuration' | 'set' | 'history'>;
type Views = Pick<FleetViews, 'quotas' | 'batches'>;

/** Paths of the operator interface under the names of its first version, answered in their old form for one version more. */
export const operatorApiVersion1 = {
  /** Adds /v1/setup, /v1/setup/history, /v1/duties, /v1/branches and /v1/lots. */
  routes(app: FastifyInstance, operatorApi: Configurations, views: Views): void {
    configurationRoutesVersion1(app, operatorApi);
    app.get('/v1/duties', async () => {
      const { singletonRoles } = await operatorApi.configuration();
      return renameFields({ duties: singletonRoles }, { duties: { record: true, fields: role } });
    });
    app.get('/v1/branches', async (_request, reply) => {
      const view = await views.quotas();
      if (view === undefined) return sendError(reply, 503, 'nobody holds the dispatcher role now');
      return reply.send(renameFields(view, quotas));
    });
    app.get('/v1/lots', async () => ({ lots: renameFields(await views.batches(), batch) }));
  },

  /** The dispatcher's role as /status showed it, under its old name. */
  status: (singletonRole: SingletonRole | undefined) => ({ duty: renameFields(singletonRole, role) }),
};

function configurationRoutesVersion1(app: FastifyInstance, operatorApi: Configurations): void {
  app.get('/v1/setup', async () => {
    const { version, configuration } = await operatorApi.configuration();
    return { version, setup: configuration === undefined ? null : renameFields(configuration, configurationVersion1) };
  });

  app.post('/v1/setup', async (request, reply) => {
    const body = check(ChangeBodyVersion1, request.body);
    if (!body.ok) return sendError(reply, 400, 'the change cannot be read', body.findings);
    const { basedOn, mark: revision, ...content } = body.value;
    const outcome = await operatorApi.set(configurationChangeOf({ basedOn, revision, ...content }));
    const answer = changeAnswer(outcome);
    const { findings } = answer.body;
    const oldFindings = findings === undefined ? {} : { findings: findingsVersion1(findings) };
    return reply.code(answer.status).send(renameFields({ ...answer.body, ...oldFindings }, { revision: 'mark' }));
  });

  app.get('/v1/setup/history', async () => ({ history: await operatorApi.history() }));
}
