import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Update, Version } from '../state-table/index.js';

const Nothing = v.strictObject({});
const Versions = v.record(v.string(), Version);

/** The calls between nodes. The names on the wire are older than the names here and stay as they are. */
export const membershipCalls = {
  heartbeat: defineCall('membership.beat', v.strictObject({ nodeRecord: Update, checksum: v.number() }), Nothing),
  update: defineCall('membership.news', v.strictObject({ from: NodeName, updates: v.array(Update) }), Nothing),
  /** Which buckets of the state table differ at the other side; mostly none. */
  digest: defineCall('membership.digest', v.strictObject({ digest: v.array(Count) }), v.strictObject({ differing: v.array(Count) })),
  /** Returns what the receiver holds newer in these buckets, and the keys of which it wants the sender's newer updates. */
  compare: defineCall(
    'membership.compare',
    v.strictObject({ from: Address, buckets: v.array(Count), versions: Versions }),
    v.strictObject({ newer: v.array(Update), wanted: v.array(v.string()) }),
  ),
  /** SWIM's direct ping, */
  ping: defineCall('membership.ping', Nothing, Nothing),
  /** and the indirect one: the receiver pings that address. */
  pingFor: defineCall('membership.pingFor', v.strictObject({ address: Address }), v.strictObject({ heard: v.boolean() })),
};
