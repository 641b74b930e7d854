import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';
import { GroupMember } from '../group/index.js';

const ShardPlacement = v.strictObject({
  /** The members it was bootstrapped with; never changed. */
  bootstrap: v.array(GroupMember),
  /** The nodes that should hold it, the preferred leader first. */
  wanted: v.array(v.strictObject({ name: NodeName, address: Address })),
});
const ShardMapSchema = v.strictObject({ version: Count, shards: v.record(v.string(), ShardPlacement) });

/** Which nodes should hold which shard. Clients find leaders by it, and nodes open, move and drop shards after it. */
export const ShardMap = {
  /** Its key in the state table. */
  key: 'shards',
  schema: ShardMapSchema,
  empty: (): ShardMap => ({ version: 0, shards: {} }),
  read: (raw: unknown): ShardMap | undefined => {
    const read = v.safeParse(ShardMapSchema, raw);
    return read.success ? read.output : undefined;
  },
  /** The state table's key under which a shard's leader announces its group. */
  groupKey: (shard: string): string => `group/${shard}`,
  readGroup: (raw: unknown): readonly GroupMember[] => {
    const read = v.safeParse(v.array(GroupMember), raw);
    return read.success ? read.output : [];
  },
  /** Where a shard's leader may be: its group as last announced, or else as bootstrapped, and the nodes that should hold it. */
  members: (map: ShardMap, shard: string, announced: unknown): readonly Address[] => {
    const placement = map.shards[shard];
    if (placement === undefined) return [];
    const group = ShardMap.readGroup(announced);
    const current = (group.length > 0 ? group : placement.bootstrap).map((groupMember) => groupMember.identity.address);
    return [...new Set([...current, ...placement.wanted.map(({ address }) => address)])];
  },
};
export type ShardMap = v.InferOutput<typeof ShardMapSchema>;
