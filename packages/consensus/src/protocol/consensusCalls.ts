import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Entry } from '../log/entry.js';
import { Identity } from '../group/identity.js';
import { leaderReply } from './leaderReply.js';
import { ShardView } from './shardView.js';
import { GroupMember } from '../group/groupMember.js';

const to = { shard: v.string(), memberId: v.string(), from: NodeName, term: Count };
const Last = v.strictObject({ term: Count, index: Count });

/** What members of a shard ask each other, and what anybody may ask of them. */
export const consensusCalls = {
  /** Do you find the leader silent? Changes nothing. */
  preVote: defineCall(
    'consensus.preVote',
    v.strictObject({ ...to, transfer: v.boolean() }),
    /** `fresh`: knows no leader, and has known none since it started. */
    v.strictObject({ unreachable: v.boolean(), recentlyStarted: v.boolean(), term: Count, last: Last }),
  ),
  /** Promise to refuse every term below this one. */
  vote: defineCall('consensus.vote', v.strictObject(to), v.strictObject({ granted: v.boolean(), term: Count, last: Last })),
  append: defineCall(
    'consensus.append',
    v.strictObject({ ...to, leader: Identity, previous: Last, entries: v.array(Entry), commit: Count }),
    v.strictObject({ ok: v.boolean(), term: Count, last: Count, syncMs: v.number() }),
  ),
  /** A chunk of a snapshot, for a member whose place in the log is gone. */
  installSnapshot: defineCall(
    'consensus.installSnapshot',
    v.strictObject({
      ...to,
      leader: Identity,
      index: Count,
      snapshotTerm: Count,
      lengthBytes: Count,
      /** SHA-256 of the whole, in hex. */
      checksum: v.string(),
      offset: Count,
      bytes: v.instance(Uint8Array),
    }),
    /** `held`: from which byte the receiver wants the rest. `taken` once it is synced; `refused` changes nothing there. */
    v.strictObject({ outcome: v.picklist(['held', 'taken', 'refused']), term: Count, held: Count }),
  ),
  /** The log after an index, for a candidate that adopts it. */
  fetch: defineCall(
    'consensus.fetch',
    v.strictObject({ ...to, after: Count, limit: Count }),
    v.strictObject({ ok: v.boolean(), entries: v.array(Entry) }),
  ),
  transfer: defineCall('consensus.transfer', v.strictObject(to), v.strictObject({ ok: v.boolean() })),
  /** A shard as its leader surely knows it; also what a machine asks before it gives a copy up. */
  view: defineCall('consensus.view', v.strictObject({ shard: v.string() }), leaderReply(ShardView)),
  /** For the bootstrap of a shard without a table to stand in: who this process is there, and the members it knows, if any. */
  bootstrapStatus: defineCall(
    'consensus.bootstrapStatus',
    v.strictObject({ shard: v.string() }),
    v.strictObject({ identity: Identity, group: v.array(GroupMember), bootstrap: v.optional(v.boolean(), true) }),
  ),
  found: defineCall('consensus.bootstrap', v.strictObject({ shard: v.string(), group: v.array(GroupMember) }), v.strictObject({})),
  /** Who this process is in a shard, for bootstrap shards and for groups that add it. */
  identify: defineCall('consensus.identify', v.strictObject({ shard: v.string() }), Identity),
};
