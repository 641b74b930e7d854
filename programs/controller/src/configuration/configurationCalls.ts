import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Configuration, Count, PlanId } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Confirmation } from '../audit/confirmation.js';
import { ChangeOutcome } from './changeOutcome.js';
import { ConfigurationChange } from './configurationChange.js';
import { Plan } from './plan.js';
import { PlanOutcome } from './planOutcome.js';
import { Proposal } from './proposal.js';

const Findings = v.array(v.strictObject({ place: v.string(), message: v.string() }));

/** Calls to the leader of the configuration shard about plans, changes and the versions that fronts hold. */
export const configurationCalls = {
  plan: defineCall(
    'controller.plan',
    v.strictObject({ id: PlanId, proposal: Proposal }),
    leaderReply(v.strictObject({ plan: v.optional(Plan), findings: Findings })),
  ),
  /** Returns at once; `inForce` tells whether every front holds the confirmed version, or has stopped forwarding by an older one. */
  confirm: defineCall(
    'controller.confirm',
    v.strictObject({ plan: PlanId, acknowledged: v.boolean(), atMs: v.number() }),
    leaderReply(v.strictObject({ outcome: PlanOutcome, inForce: v.boolean() })),
  ),
  /** Puts a configuration in force in one call; returns once it is durable and published. */
  set: defineCall('controller.set', v.strictObject({ change: ConfigurationChange }), leaderReply(ChangeOutcome)),
  configuration: defineCall(
    'controller.setup',
    v.strictObject({}),
    leaderReply(
      v.strictObject({
        version: Count,
        configuration: v.optional(Configuration),
        /** The confirmations that the replicated state itself holds. */
        history: v.array(Confirmation),
        singletonRoles: v.record(v.string(), SingletonRole),
      }),
    ),
  ),
  readPlan: defineCall('controller.readPlan', v.strictObject({ plan: PlanId }), leaderReply(v.optional(Plan))),
  /** Which version each front holds, as far as it has reported to the leader. */
  fronts: defineCall('controller.fronts', v.strictObject({}), leaderReply(v.array(v.strictObject({ front: v.string(), version: Count })))),
};
