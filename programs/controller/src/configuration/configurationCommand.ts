import * as v from 'valibot';
import { GroupMember } from '@pewterlanding/consensus';
import { SingletonRole } from '@pewterlanding/agent';
import { Count, NodeName, PlanId } from '@pewterlanding/model';
import { Plan } from './plan.js';
import { Placement } from '../placement/placement.js';
import { ConfigurationChange } from './configurationChange.js';

/** What changes the setup shard. */
export const ConfigurationCommand = v.variant('kind', [
  v.strictObject({ kind: v.literal('plan'), plan: Plan }),
  v.strictObject({ kind: v.literal('confirm'), plan: PlanId, acknowledged: v.boolean(), atMs: v.number() }),
  /** A change that is planned, checked and confirmed in one. */
  v.strictObject({ kind: v.literal('set'), change: ConfigurationChange, atMs: v.number() }),
  /** A duty goes to a holder, if its epoch is still the one the claimant knew. */
  v.strictObject({ kind: v.literal('claimRole'), singletonRole: v.string(), claim: SingletonRole }),
  /** The signed entry of a version; the first one stands. */
  v.strictObject({ kind: v.literal('audit'), version: Count, entry: v.string(), key: v.record(v.string(), v.unknown()) }),
  /** Who shall sit where, if it follows on the seating in force. */
  v.strictObject({ kind: v.literal('place'), placement: Placement }),
  /** A store shall be emptied, if at least so many of the others stay, those away not counted. */
  v.strictObject({ kind: v.literal('empty'), name: NodeName, away: v.array(NodeName), minimum: Count }),
  v.strictObject({ kind: v.literal('bootstrap'), shard: v.string(), members: v.array(GroupMember) }),
]);
export type ConfigurationCommand = v.InferOutput<typeof ConfigurationCommand>;
