import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { Update } from '../state-table/update.js';
import { Version } from '../state-table/version.js';

const Nothing = v.strictObject({});
const Versions = v.record(v.string(), Version);

/** What nodes of the ring say to each other. */
export const membershipCalls = {
  heartbeat: defineCall('membership.beat', v.strictObject({ nodeRecord: Update, checksum: v.number() }), Nothing),
  update: defineCall('membership.news', v.strictObject({ from: NodeName, updates: v.array(Update) }), Nothing),
  /** Which buckets of the board hold something else at the other side; most often none. */
  digest: defineCall('membership.digest', v.strictObject({ digest: v.array(Count) }), v.strictObject({ differing: v.array(Count) })),
  /** Both sides end with the newer of each in these buckets. */
  compare: defineCall(
    'membership.compare',
    v.strictObject({ from: Address, buckets: v.array(Count), versions: Versions }),
    v.strictObject({ newer: v.array(Update), wanted: v.array(v.string()) }),
  ),
  ping: defineCall('membership.ping', Nothing, Nothing),
  pingFor: defineCall('membership.pingFor', v.strictObject({ address: Address }), v.strictObject({ heard: v.boolean() })),
};
