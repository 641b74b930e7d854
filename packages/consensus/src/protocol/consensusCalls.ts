import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { GroupMember, Identity } from '../group/index.js';
import { Entry } from '../log/index.js';
import { leaderReply } from './leaderReply.js';
import { ShardView } from './shardView.js';

/** In every call between members: the shard, the member that is meant, the sender and its term. */
const common = { shard: v.string(), memberId: v.string(), from: NodeName, term: Count };
/** The position of an entry in the log. */
const Position = v.strictObject({ term: Count, index: Count });

/** The calls between members of a shard, and those that any node may make to them. Names and fields are part of the wire format. */
export const consensusCalls = {
  /** Asks whether the receiver finds the leader unreachable, too; changes nothing there. `transfer`: the leader itself asked for it. */
  preVote: defineCall(
    'consensus.preVote',
    v.strictObject({ ...common, transfer: v.boolean() }),
    /** `recentlyStarted`: the receiver has known no leader since it started. */
    v.strictObject({ unreachable: v.boolean(), recentlyStarted: v.boolean(), term: Count, last: Position }),
  ),
  /** Asks for a vote, which is a promise to refuse every lower term. Unlike in Raft, it does not depend on the candidate's log. */
  vote: defineCall('consensus.vote', v.strictObject(common), v.strictObject({ granted: v.boolean(), term: Count, last: Position })),
  /** Raft's AppendEntries. `last`: where the sender has to go on; `syncMs`: how long a sync takes at the receiver. */
  append: defineCall(
    'consensus.append',
    v.strictObject({ ...common, leader: Identity, previous: Position, entries: v.array(Entry), commit: Count }),
    v.strictObject({ ok: v.boolean(), term: Count, last: Count, syncMs: v.number() }),
  ),
  /** A chunk of a snapshot, for a member that needs entries which were compacted away. */
  installSnapshot: defineCall(
    'consensus.installSnapshot',
    v.strictObject({
      ...common,
      leader: Identity,
      index: Count,
      snapshotTerm: Count,
      lengthBytes: Count,
      /** SHA-256 of the whole snapshot, in hex. */
      checksum: v.string(),
      offset: Count,
      bytes: v.instance(Uint8Array),
    }),
    /** `held`: how many bytes the receiver has, where the next chunk starts. `taken`: installed and synced. `refused`: nothing changed. */
    v.strictObject({ outcome: v.picklist(['held', 'taken', 'refused']), term: Count, held: Count }),
  ),
  /** The log after an index, for a candidate that adopts it before it leads. */
  fetch: defineCall(
    'consensus.fetch',
    v.strictObject({ ...common, after: Count, limit: Count }),
    v.strictObject({ ok: v.boolean(), entries: v.array(Entry) }),
  ),
  /** Raft's TimeoutNow: the leader asks a follower to stand for election. */
  transfer: defineCall('consensus.transfer', v.strictObject(common), v.strictObject({ ok: v.boolean() })),
  /** A shard as its leader knows it, its leadership confirmed; asked by operators, and by a node before it drops its copy. */
  view: defineCall('consensus.view', v.strictObject({ shard: v.string() }), leaderReply(ShardView)),
  /** For the bootstrap of the first shard, which is in no shard map yet: the receiver's identity, and the members it knows, if any. */
  bootstrapStatus: defineCall(
    'consensus.bootstrapStatus',
    v.strictObject({ shard: v.string() }),
    v.strictObject({ identity: Identity, group: v.array(GroupMember), bootstrap: v.optional(v.boolean(), true) }),
  ),
  /** Tells a seed the group that the first shard is bootstrapped with. */
  found: defineCall('consensus.bootstrap', v.strictObject({ shard: v.string(), group: v.array(GroupMember) }), v.strictObject({})),
  /** The receiver's identity in a shard, for bootstrap and for changes that add it to a group. */
  identify: defineCall('consensus.identify', v.strictObject({ shard: v.string() }), Identity),
};
