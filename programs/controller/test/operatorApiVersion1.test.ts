import { describe, it } from 'node:test';
import { expect } from 'earl';
import Fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import * as v from 'valibot';
import { SingletonRole } from '@pewterlanding/agent';
import { BatchId, Configuration, PlanId, QuotaName, ServiceName } from '@pewterlanding/model';
import { auditHash, operatorApiVersion1 } from '../src/index.js';
import type { ChangeOutcome, ConfigurationChange } from '../src/index.js';

const quota = v.parse(QuotaName, 'north');
const configuration = v.parse(Configuration, {
  revision: 7,
  joining: true,
  sourceDocument: { quotas: 1 },
  bounds: { freshnessMs: 900 },
  quotas: { north: { share: 1 } },
  services: { a: { kind: 'whole', idempotent: true, replicas: { maxSlots: 64 } } },
  routes: { one: { host: 'one.example', prefix: '/', kind: 'batch', quota: 'north', services: [{ service: 'a', weight: 2 }] } },
});
const singletonRoles = { dispatch: v.parse(SingletonRole, { holder: 'core-1', address: '127.0.0.1:1', term: 4 }) };
const history = [{ version: 1, plan: v.parse(PlanId, 'p'), atMs: 1, differences: [] }];
const costs = { requests: 1, tokens: 2 };
const quotas = {
  term: 4,
  quotas: [{ quota, share: 1, used: costs, lent: costs, borrowed: costs, waitingLimit: costs, held: costs }],
  waiting: { north: 3 },
};
const batch = {
  id: v.parse(BatchId, 'b_0_1'),
  quota,
  service: v.parse(ServiceName, 'a'),
  bodyHash: 'h',
  createdMs: 1,
  ended: false,
  items: 2,
  counts: { QUEUED: 2 },
};

/** The old paths over values as the leaders would answer them; `changes` receives what was put in force. */
function server(outcome: ChangeOutcome, changes: ConfigurationChange[] = []): FastifyInstance {
  const app = Fastify();
  operatorApiVersion1.routes(
    app,
    {
      configuration: async () => ({ version: 3, configuration, history, singletonRoles }),
      history: async () => history,
      set: async (change) => {
        changes.push(change);
        return outcome;
      },
    },
    { quotas: async () => quotas, batches: async () => [batch] },
  );
  return app;
}

const taken: ChangeOutcome = { outcome: 'taken', revision: 7, findings: [] };

async function get(path: string): Promise<unknown> {
  const response = await server(taken).inject({ method: 'GET', url: path });
  expect(response.statusCode).toEqual(200);
  return JSON.parse(response.body);
}

describe('the operator interface under its old paths', () => {
  it('shows the configuration with the names of format 1', async () => {
    const Setup = v.object({ version: v.number(), setup: v.record(v.string(), v.unknown()) });
    const { version, setup } = v.parse(Setup, await get('/v1/setup'));
    expect([version, setup['mark'], setup['words'], setup['branches']]).toEqual([
      3,
      7,
      { quotas: 1 },
      { north: { ...configuration.quotas[quota] } },
    ]);
    const Old = v.object({
      bounds: v.looseObject({ freshMs: v.literal(900), lotCap: v.number(), lotKeepMs: v.number() }),
      lotShards: v.number(),
      services: v.object({ a: v.looseObject({ repeatable: v.literal(true) }) }),
      routes: v.object({
        one: v.looseObject({
          branch: v.literal('north'),
          kind: v.literal('lot'),
          services: v.tuple([v.strictObject({ service: v.literal('a'), gain: v.literal(2) })]),
        }),
      }),
    });
    expect(v.safeParse(Old, setup).issues).toEqual(undefined);
    for (const name of ['revision', 'sourceDocument', 'quotas', 'batchShards']) expect(Object.hasOwn(setup, name)).toEqual(false);
  });

  it('shows history, duties, branches and lots in their old form', async () => {
    expect(await get('/v1/setup/history')).toEqual({ history });
    expect(await get('/v1/duties')).toEqual({ duties: { dispatch: { holder: 'core-1', address: '127.0.0.1:1', epoch: 4 } } });
    const { quota: _quota, ...figures } = { ...quotas.quotas[0] };
    expect(await get('/v1/branches')).toEqual({ epoch: 4, branches: [{ branch: 'north', ...figures }], waiting: { north: 3 } });
    const { quota: _own, ...rest } = batch;
    expect(await get('/v1/lots')).toEqual({ lots: [{ ...rest, branch: 'north' }] });
    expect(operatorApiVersion1.status(singletonRoles.dispatch)).toEqual({ duty: { holder: 'core-1', address: '127.0.0.1:1', epoch: 4 } });
    expect(operatorApiVersion1.status(undefined)).toEqual({ duty: undefined });
  });

  it('takes a change by its mark, under the hash that the shard remembers of it', async () => {
    const changes: ConfigurationChange[] = [];
    const payload = { basedOn: 5, mark: 7, items: { routes: { one: { branch: 'north' } }, drop: { services: ['b'] } } };
    const response = await server(taken, changes).inject({ method: 'POST', url: '/v1/setup', payload });
    expect([response.statusCode, JSON.parse(response.body)]).toEqual([200, { mark: 7 }]);
    const hashed =
      '{"basedOn":5,"mark":7,"items":{"routes":{"one":{"branch":"north"}},"services":{},"drop":{"routes":[],"services":["b"]}}}';
    expect(changes).toEqual([
      {
        basedOn: 5,
        revision: 7,
        hash: auditHash(hashed),
        change: { kind: 'items', routes: { one: { branch: 'north' } }, services: {}, drop: { routes: [], services: ['b'] } },
      },
    ]);
  });

  it('answers conflicts and findings with the mark and the old names of places', async () => {
    const payload = { basedOn: 5, mark: 7, whole: {} };
    const post = async (outcome: ChangeOutcome, body: object = payload): Promise<unknown[]> => {
      const response = await server(outcome).inject({ method: 'POST', url: '/v1/setup', payload: body });
      return [response.statusCode, JSON.parse(response.body)];
    };
    expect(await post({ outcome: 'conflict', revision: 9, findings: [] })).toEqual([
      409,
      { error: 'another configuration is in force', mark: 9 },
    ]);
    const places = [
      'mark',
      'revision',
      'quotas.x.share',
      'routes.one.quota',
      'routes.a.b.services.0.weight',
      'bounds.freshnessMs',
      'services.quota',
    ];
    const findings = places.map((place) => ({ place, message: 'm' }));
    const old = ['mark', 'mark', 'branches.x.share', 'routes.one.branch', 'routes.a.b.services.0.gain', 'bounds.freshMs', 'services.quota'];
    expect(await post({ outcome: 'invalid', revision: 9, findings })).toEqual([
      422,
      { error: 'the change has findings', mark: 9, findings: old.map((place) => ({ place, message: 'm' })) },
    ]);
    const [status, body] = await post(taken, { basedOn: 5, revision: 7, whole: {} });
    expect([status, JSON.stringify(body).includes('mark')]).toEqual([400, true]);
  });
});
