import * as v from 'valibot';
import { Identity } from './identity.js';

/** A place in a group. Only a voter votes; one that is not counted follows until it has caught up. */
export const GroupMember = v.strictObject({ identity: Identity, isVoter: v.boolean() });
export type GroupMember = v.InferOutput<typeof GroupMember>;
