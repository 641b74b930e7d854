import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';
import { GroupMember } from '../group/groupMember.js';

const Row = v.strictObject({
  /** The members it began with, written once. */
  bootstrap: v.array(GroupMember),
  /** Where it shall sit, in order. */
  wanted: v.array(v.strictObject({ name: NodeName, address: Address })),
});
const Table = v.strictObject({ version: Count, shards: v.record(v.string(), Row) });

/** Which shard sits where: a hint for those who look for leaders, and the order to sit elsewhere for those who keep shards. */
export const ShardMap = {
  key: 'shards',
  schema: Table,
  empty: (): ShardMap => ({ version: 0, shards: {} }),
  read: (raw: unknown): ShardMap | undefined => {
    const read = v.safeParse(Table, raw);
    return read.success ? read.output : undefined;
  },
  /** Under this key a shard's leader tells its members to all. */
  groupKey: (shard: string): string => `group/${shard}`,
  readGroup: (raw: unknown): readonly GroupMember[] => {
    const read = v.safeParse(v.array(GroupMember), raw);
    return read.success ? read.output : [];
  },
  /** Where to ask for a shard's leader: its members as last told, its bootstrap ones, and where it shall sit. */
  members: (table: ShardMap, shard: string, told: unknown): readonly Address[] => {
    const row = table.shards[shard];
    if (row === undefined) return [];
    const group = ShardMap.readGroup(told);
    const sitting = (group.length > 0 ? group : row.bootstrap).map((groupMember) => groupMember.identity.address);
    return [...new Set([...sitting, ...row.wanted.map((place) => place.address)])];
  },
};
export type ShardMap = v.InferOutput<typeof Table>;
