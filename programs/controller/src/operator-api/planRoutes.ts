import type { FastifyInstance, FastifyReply } from 'fastify';
import * as v from 'valibot';
import { check, PlanId } from '@pewterlanding/model';
import { Proposal } from '../configuration/proposal.js';
import type { Plan } from '../configuration/plan.js';
import type { OperatorApi } from './operatorApi.js';
import { sendError } from './sendError.js';

type PlanPath = { Params: { plan: string } };
type Confirmed = Awaited<ReturnType<OperatorApi['confirm']>>;

const ConfirmBody = v.strictObject({ acknowledged: v.optional(v.boolean(), false) });

/** Proposals, plans and their confirmation. `nextPlan` makes the ids of plans. */
export function planRoutes(app: FastifyInstance, operatorApi: OperatorApi, nextPlan: () => string): void {
  app.post('/v1/plans', async (request, reply) => {
    const proposal = check(Proposal, request.body);
    if (!proposal.ok) return sendError(reply, 400, 'the proposal cannot be read', proposal.findings);
    const id = v.parse(PlanId, nextPlan());
    const { plan, findings } = await operatorApi.plan(id, proposal.value);
    if (plan === undefined) return sendError(reply, 422, 'the proposal has findings', findings);
    return reply.code(201).header('location', `/v1/plans/${id}`).send(withoutDocument(plan));
  });

  app.get<PlanPath>('/v1/plans/:plan', async (request, reply) => {
    const id = check(PlanId, request.params.plan);
    const plan = id.ok ? await operatorApi.readPlan(id.value) : undefined;
    if (plan === undefined) return sendError(reply, 404, 'no such plan');
    return reply.send(withoutDocument(plan));
  });

  app.post<PlanPath>('/v1/plans/:plan/confirm', async (request, reply) => {
    const id = check(PlanId, request.params.plan);
    const body = check(ConfirmBody, request.body ?? {});
    if (!body.ok) return sendError(reply, 400, 'the confirmation cannot be read', body.findings);
    if (!id.ok) return sendError(reply, 404, 'no such plan');
    return sendConfirmed(reply, await operatorApi.confirm(id.value, body.value.acknowledged));
  });
}

function sendConfirmed(reply: FastifyReply, { outcome, inForce }: Confirmed): FastifyReply {
  switch (outcome.outcome) {
    case 'unknown':
      return sendError(reply, 404, 'no such plan');
    case 'conflict':
      return reply.code(409).send({ error: 'the configuration has changed since this plan was made', ...outcome });
    case 'unacknowledged':
      return reply.code(428).send({ error: 'the plan has effects that need an acknowledgement', ...outcome });
    case 'confirmed':
      if (inForce) return reply.send(outcome);
      return reply
        .code(504)
        .send({ error: 'confirmed and stored, but not yet known to be in force everywhere; confirm again to wait on', ...outcome });
  }
}

/** A plan without the document that it would put in force, which its differences already show. */
function withoutDocument({ next: _next, ...plan }: Plan): Omit<Plan, 'next'> {
  return plan;
}
