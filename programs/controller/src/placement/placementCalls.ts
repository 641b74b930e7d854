import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { NodeName } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';

const DrainedStore = v.strictObject({ name: NodeName });

/** Calls to the leader of the configuration shard about stores that are to be drained. */
export const placementCalls = {
  /** Starts moving all copies off a store; idempotent while the drain is running. */
  empty: defineCall('controller.empty', DrainedStore, leaderReply(v.picklist(['started', 'unknown', 'too few']))),
  /** `settled` once no committed data is lost when the store and its disk are removed. */
  emptied: defineCall('controller.emptied', DrainedStore, leaderReply(v.picklist(['running', 'settled', 'unknown']))),
};
