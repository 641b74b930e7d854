import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';

const Named = v.strictObject({ name: NodeName });

/** What is asked of the leader of the setup shard about stores that shall go. */
export const placementCalls = {
  /** Moves all copies away from a store; asked again, it is still under way. */
  empty: defineCall('controller.empty', Named, leaderReply(v.picklist(['started', 'unknown', 'too few']))),
  /** Settled once nothing is lost when the store and its disk are taken away. */
  emptied: defineCall('controller.emptied', Named, leaderReply(v.picklist(['running', 'settled', 'unknown']))),
};
