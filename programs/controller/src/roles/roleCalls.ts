import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Count } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { RoleHandover } from './roleHandover.js';

/** Calls by which singleton roles are offered, claimed, renewed and handed over. */
export const roleCalls = {
  /** From the holder that released a role to the next one: the rate limiter's balances under the term that ended. */
  handRole: defineCall('controller.handRole', RoleHandover, v.strictObject({ taken: v.boolean() })),
  /** From the leader of the configuration shard to a candidate: the role is vacant, and may be claimed under this term. */
  offerRole: defineCall('controller.offerRole', v.strictObject({ role: v.string(), term: Count }), v.strictObject({ taken: v.boolean() })),
  claimRole: defineCall(
    'controller.claimRole',
    v.strictObject({ role: v.string(), claim: SingletonRole }),
    leaderReply(v.strictObject({ held: v.optional(SingletonRole) })),
  ),
  /** Extends the holder's lease, which the leader of the configuration shard grants, or releases it. */
  renewRole: defineCall(
    'controller.renewRole',
    v.strictObject({ role: v.string(), term: Count, release: v.boolean() }),
    leaderReply(v.strictObject({ held: v.boolean() })),
  ),
};
