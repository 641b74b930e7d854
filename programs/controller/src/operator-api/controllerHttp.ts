import Fastify from 'fastify';
import type { FastifyInstance, FastifyReply } from 'fastify';
import * as v from 'valibot';
import { consensusCalls } from '@pewterlanding/consensus';
import { check, NodeName, PlanId } from '@pewterlanding/model';
import type { Finding } from '@pewterlanding/model';
import type { Clock, Counters, StartupTimeline, Transport } from '@pewterlanding/runtime';
import type { Membership } from '@pewterlanding/membership';
import { storeCalls } from '@pewterlanding/store';
import { auditHash } from '../audit/auditHash.js';
import { ChangeBody } from './changeBody.js';
import type { Controller } from '../controller.js';
import { controllerCalls } from '../controllerCalls.js';
import { OperatorApi } from './operatorApi.js';
import type { Plan } from '../configuration/plan.js';
import { Proposal } from '../configuration/proposal.js';

interface ControllerHttpOptions {
  readonly controller: Controller;
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly timeline: StartupTimeline;
  readonly nextPlan: () => string;
  /** How long an operator's word may take; a confirmation waits for fronts that lapse. */
  readonly waitMs: number;
}

const ConfirmBody = v.strictObject({ acknowledged: v.optional(v.boolean(), false) });

/** What operators reach by HTTP, at any controller machine. */
export function controllerHttp(options: ControllerHttpOptions): FastifyInstance {
  const { controller, membership, transport, clock, counters, timeline, waitMs } = options;
  const app = Fastify({ bodyLimit: 8 << 20, forceCloseConnections: true });
  const { finder } = controller;
  const operatorApi = new OperatorApi({ finder, clock, waitMs });

  app.post('/v1/plans', async (request, reply) => {
    const proposal = check(Proposal, request.body);
    if (!proposal.ok) return fail(reply, 400, 'the proposal cannot be read', proposal.findings);
    const id = check(PlanId, options.nextPlan());
    if (!id.ok) throw new Error('unreachable: ids made here can be read');
    const response = await operatorApi.plan(id.value, proposal.value);
    if (response.plan === undefined) return fail(reply, 422, 'the proposal has findings', response.findings);
    return reply.code(201).header('location', `/v1/plans/${id.value}`).send(shown(response.plan));
  });

  app.get<{ Params: { plan: string } }>('/v1/plans/:plan', async (request, reply) => {
    const id = check(PlanId, request.params.plan);
    const plan = id.ok ? await operatorApi.readPlan(id.value) : undefined;
    return plan === undefined ? fail(reply, 404, 'no such plan') : reply.send(shown(plan));
  });

  app.post<{ Params: { plan: string } }>('/v1/plans/:plan/confirm', async (request, reply) => {
    const id = check(PlanId, request.params.plan);
    const body = check(ConfirmBody, request.body ?? {});
    if (!body.ok) return fail(reply, 400, 'the confirmation cannot be read', body.findings);
    if (!id.ok) return fail(reply, 404, 'no such plan');
    const { outcome, inForce } = await operatorApi.confirm(id.value, body.value.acknowledged);
    if (outcome.outcome === 'unknown') return fail(reply, 404, 'no such plan');
    if (outcome.outcome === 'conflict')
      return reply.code(409).send({ error: 'the setup has changed since this plan was made', ...outcome });
    if (outcome.outcome === 'unacknowledged')
      return reply.code(428).send({ error: 'the plan has effects that need an acknowledgement', ...outcome });
    if (inForce) return reply.send(outcome);
    return reply
      .code(504)
      .send({ error: 'confirmed and kept, but not yet known to be in force everywhere; confirm again to wait on', ...outcome });
  });

  app.get('/v1/setup', async (_request, reply) => {
    const { version, configuration } = await operatorApi.configuration();
    return reply.send({ version, setup: configuration ?? null });
  });
  app.post('/v1/setup', async (request, reply) => {
    const body = check(ChangeBody, request.body);
    if (!body.ok) return fail(reply, 400, 'the change cannot be read', body.findings);
    const { basedOn, mark: revision } = body.value;
    const change =
      'whole' in body.value ? { kind: 'whole' as const, configuration: body.value.whole } : { kind: 'items' as const, ...body.value.items };
    const {
      outcome,
      revision: current,
      findings,
    } = await operatorApi.set({ basedOn, revision, hash: auditHash(JSON.stringify(body.value)), change });
    if (outcome === 'conflict') return reply.code(409).send({ error: 'another setup is in force', mark: current });
    if (outcome === 'invalid') return reply.code(422).send({ error: 'the change has findings', mark: current, findings });
    return reply.send({ mark: current });
  });
  app.get('/v1/setup/history', async () => ({
    history: await finder.ask('setup', controllerCalls.history, {}, waitMs),
  }));
  app.get('/v1/audit', async () => finder.ask('setup', controllerCalls.audit, {}, waitMs));
  app.get('/v1/nodes', async () => {
    const fronts = await finder.ask('setup', controllerCalls.fronts, {}, waitMs).catch(() => []);
    return {
      nodes: membership
        .nodeRecords()
        .map((nodeRecord) => ({ ...nodeRecord, version: fronts.find((front) => front.front === nodeRecord.name)?.version })),
    };
  });
  app.get('/v1/shards', async () => {
    const shards = ['setup', ...Object.keys(controller.table.shards).sort()];
    return {
      shards: await Promise.all(
        shards.map(async (shard) => ({
          shard,
          wanted: controller.table.shards[shard]?.wanted,
          view: await finder.ask(shard, consensusCalls.view, { shard }, waitMs / 4).catch(() => undefined),
        })),
      ),
    };
  });
  app.post<{ Params: { name: string } }>('/v1/stores/:name/empty', async (request, reply) => {
    const name = check(NodeName, request.params.name);
    const outcome = name.ok ? await operatorApi.empty(name.value) : 'unknown';
    if (outcome === 'unknown') return fail(reply, 404, 'no such store');
    if (outcome === 'too few') return fail(reply, 409, 'too few stores would be left for the copies');
    return reply.code(202).send({ outcome });
  });
  app.get<{ Params: { name: string } }>('/v1/stores/:name/empty', async (request, reply) => {
    const name = check(NodeName, request.params.name);
    const outcome = name.ok ? await operatorApi.emptied(name.value) : 'unknown';
    return outcome === 'unknown' ? fail(reply, 404, 'no such store is being emptied') : reply.send({ outcome });
  });
  app.get('/v1/duties', async () => ({ duties: (await operatorApi.configuration()).singletonRoles }));
  app.get('/v1/branches', async (_request, reply) => {
    const singletonRole = controller.singletonRole();
    const response =
      singletonRole === undefined
        ? undefined
        : await transport.ask(singletonRole.address, controllerCalls.quotas, {}, waitMs / 4).catch(() => undefined);
    return response === undefined ? fail(reply, 503, 'nobody holds the counter now') : reply.send(response);
  });
  app.get('/v1/lots', async () => {
    const shards = Object.keys(controller.table.shards).filter((shard) => shard.startsWith('lots-'));
    const batches = await Promise.all(
      shards.map((shard) => finder.ask(shard, storeCalls.batches, { shard, limit: 100 }, waitMs / 4).catch(() => [])),
    );
    return { lots: batches.flat().sort((a, b) => b.createdMs - a.createdMs) };
  });
  app.get('/ready', async (_request, reply) => {
    // Anything that only the setup's leader says; the setup itself may be large.
    const ready = await finder.ask('setup', controllerCalls.fronts, {}, waitMs / 10).then(
      () => true,
      () => false,
    );
    return reply.code(ready ? 200 : 503).send({ ready });
  });
  app.get('/status', async () => ({
    name: membership.name,
    shard: controller.member?.view(),
    duty: controller.singletonRole(),
    startup: timeline.stages(),
    counters: counters.all(),
  }));

  app.setNotFoundHandler((_request, reply) => fail(reply, 404, 'nothing here'));
  app.setErrorHandler((error, _request, reply) => {
    const status =
      typeof error === 'object' && error !== null && 'statusCode' in error && typeof error.statusCode === 'number' ? error.statusCode : 503;
    const message = error instanceof Error ? error.message : 'failed';
    return fail(reply, status, message, status === 400 ? [{ place: 'body', message }] : undefined);
  });
  return app;
}

function fail(reply: FastifyReply, status: number, error: string, findings?: readonly Finding[]): FastifyReply {
  return reply.code(status).send(findings === undefined ? { error } : { error, findings });
}

/** A plan without the document it would put in force: its differences say as much. */
function shown(plan: Plan): Omit<Plan, 'next'> {
  const { next: _next, ...rest } = plan;
  return rest;
}
