import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { GroupMember } from '../group/index.js';

/** A member's view of its shard, for operators. `behind` is filled on the leader only. */
export const ShardView = v.strictObject({
  shard: v.string(),
  isLeader: v.boolean(),
  /** Who leads the shard, as far as this member knows. */
  leader: v.optional(NodeName),
  term: Count,
  /** The commit index. */
  committed: Count,
  group: v.array(GroupMember),
  /** How many entries each follower lacks. */
  behind: v.array(v.strictObject({ name: NodeName, behind: v.number() })),
});
export type ShardView = v.InferOutput<typeof ShardView>;
