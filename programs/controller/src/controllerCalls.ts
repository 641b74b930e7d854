import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Count, NodeName, PlanId, Configuration } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { QuotaView } from '@pewterlanding/rate-limit';
import { AuditLine } from './audit/auditLine.js';
import { AuditTrail } from './audit/auditTrail.js';
import { ChangeOutcome } from './configuration/changeOutcome.js';
import { Confirmation } from './configuration/confirmation.js';
import { RoleHandover } from './roles/roleHandover.js';
import { Plan } from './configuration/plan.js';
import { PlanOutcome } from './configuration/planOutcome.js';
import { Proposal } from './configuration/proposal.js';
import { ConfigurationChange } from './configuration/configurationChange.js';

const Findings = v.array(v.strictObject({ place: v.string(), message: v.string() }));

/** What controllers ask the leader of the setup shard. */
export const controllerCalls = {
  plan: defineCall(
    'controller.plan',
    v.strictObject({ id: PlanId, proposal: Proposal }),
    leaderReply(v.strictObject({ plan: v.optional(Plan), findings: Findings })),
  ),
  /** Returns only when the outcome is in force at every front. */
  confirm: defineCall(
    'controller.confirm',
    v.strictObject({ plan: PlanId, acknowledged: v.boolean(), atMs: v.number() }),
    leaderReply(v.strictObject({ outcome: PlanOutcome, inForce: v.boolean() })),
  ),
  /** Puts a setup in force in one call; returns once it is durable and on its way. */
  set: defineCall('controller.set', v.strictObject({ change: ConfigurationChange }), leaderReply(ChangeOutcome)),
  configuration: defineCall(
    'controller.setup',
    v.strictObject({}),
    leaderReply(
      /** The history is the part of it that the state itself holds. */
      v.strictObject({
        version: Count,
        configuration: v.optional(Configuration),
        history: v.array(Confirmation),
        singletonRoles: v.record(v.string(), SingletonRole),
      }),
    ),
  ),
  audit: defineCall('controller.audit', v.strictObject({}), leaderReply(AuditTrail)),
  /** Lines of the trail as a controller's own file holds them; the chain of hashes shows whether they are the trail's. */
  auditLines: defineCall(
    'controller.auditLines',
    v.strictObject({ after: Count, limit: Count }),
    v.strictObject({ lines: v.array(AuditLine) }),
  ),
  /** The newest confirmations, oldest first. */
  history: defineCall('controller.history', v.strictObject({}), leaderReply(v.array(Confirmation))),
  readPlan: defineCall('controller.readPlan', v.strictObject({ plan: PlanId }), leaderReply(v.optional(Plan))),
  /**
   * Between controllers: whose words came in lately, and with which counters; said also when there were none, as a sign of hearing.
   * `hears` names the controllers whose words came in lately.
   */
  heard: defineCall(
    'controller.heard',
    v.strictObject({ from: NodeName, instances: v.array(v.tuple([v.string(), Count])), hears: v.array(NodeName) }),
    v.strictObject({}),
  ),
  /** The counter as its holder has it. */
  quotas: defineCall(
    'controller.branches',
    v.strictObject({}),
    v.strictObject({ term: Count, quotas: v.array(QuotaView), waiting: v.record(v.string(), Count) }),
  ),
  /** Which version each front holds, as far as the leader heard. */
  fronts: defineCall('controller.fronts', v.strictObject({}), leaderReply(v.array(v.strictObject({ front: v.string(), version: Count })))),
  /** From the holder that let a role go, to the next one: what the counter held, under the epoch that ended. */
  handRole: defineCall('controller.handRole', RoleHandover, v.strictObject({ taken: v.boolean() })),
  /** From the leader of the configuration shard to a candidate: the role is vacant, and may be claimed under this epoch. */
  offerRole: defineCall('controller.offerRole', v.strictObject({ role: v.string(), term: Count }), v.strictObject({ taken: v.boolean() })),
  claimRole: defineCall(
    'controller.claimRole',
    v.strictObject({ role: v.string(), claim: SingletonRole }),
    leaderReply(v.strictObject({ held: v.optional(SingletonRole) })),
  ),
  /** The holder of a role keeps it only as long as the leader of the configuration shard lets it. */
  renewRole: defineCall(
    'controller.renewRole',
    v.strictObject({ role: v.string(), term: Count, release: v.boolean() }),
    leaderReply(v.strictObject({ held: v.boolean() })),
  ),
};
