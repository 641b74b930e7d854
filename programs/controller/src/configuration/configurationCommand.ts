import * as v from 'valibot';
import { GroupMember } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Count, NodeName, PlanId } from '@pewterlanding/model';
import { AuditCommand } from '../audit/auditCommand.js';
import { Plan } from './plan.js';
import { Placement } from '../placement/placement.js';
import { ConfigurationChange } from './configurationChange.js';

/** A command on the configuration shard; its fields are stored in the log. */
export const ConfigurationCommand = v.variant('kind', [
  v.strictObject({ kind: v.literal('plan'), plan: Plan }),
  v.strictObject({ kind: v.literal('confirm'), plan: PlanId, acknowledged: v.boolean(), atMs: v.number() }),
  /** A change that is planned, checked and confirmed in one command. */
  v.strictObject({ kind: v.literal('set'), change: ConfigurationChange, atMs: v.number() }),
  /** A singleton role goes to a holder, if its term follows on the role's term. */
  v.strictObject({ kind: v.literal('claimRole'), singletonRole: v.string(), claim: SingletonRole }),
  AuditCommand,
  /** The members of each shard, if the placement's version follows on the one in force. */
  v.strictObject({ kind: v.literal('place'), placement: Placement }),
  /** Empties a store, if at least `minimum` others remain, without counting those that are `away`. */
  v.strictObject({ kind: v.literal('empty'), name: NodeName, away: v.array(NodeName), minimum: Count }),
  v.strictObject({ kind: v.literal('bootstrap'), shard: v.string(), members: v.array(GroupMember) }),
]);
export type ConfigurationCommand = v.InferOutput<typeof ConfigurationCommand>;
