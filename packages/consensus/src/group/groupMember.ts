import * as v from 'valibot';
import { Identity } from './identity.js';

/** A member of a shard's group: a voter, or a learner, which is replicated to but counts for no majority until it has caught up. */
export const GroupMember = v.strictObject({ identity: Identity, isVoter: v.boolean() });
export type GroupMember = v.InferOutput<typeof GroupMember>;
