import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { GroupMember } from '../group/groupMember.js';

/** A member of a shard as operators read it; only a leader knows who is how far behind. */
export const ShardView = v.strictObject({
  shard: v.string(),
  isLeader: v.boolean(),
  /** Who leads the shard, as far as this member knows. */
  leader: v.optional(NodeName),
  term: Count,
  committed: Count,
  group: v.array(GroupMember),
  behind: v.array(v.strictObject({ name: NodeName, behind: v.number() })),
});
export type ShardView = v.InferOutput<typeof ShardView>;
