import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { Count, ItemId, BatchId } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { BatchOutcomes, BatchReturn, BatchView, ItemRef, ItemTask, OpenLease, ResultView } from '../batch/index.js';
import { Lease } from '../leases/index.js';
import { BatchCommand } from '../shard/index.js';
import { QueuedItem } from '../queue/index.js';

const shard = v.string();

/** Calls to the leader of a batch shard. Every change is idempotent by its `id`, so it may be retried. */
export const storeCalls = {
  change: defineCall('store.change', v.strictObject({ shard, id: v.string(), command: BatchCommand }), leaderReply(BatchReturn)),
  batch: defineCall('store.lot', v.strictObject({ shard, batch: BatchId }), leaderReply(v.optional(BatchView))),
  results: defineCall(
    'store.results',
    v.strictObject({ shard, batch: BatchId, after: Count, limit: Count }),
    leaderReply(v.optional(v.strictObject({ batch: BatchView, results: v.array(ResultView), next: Count, done: v.boolean() }))),
  ),
  /** Queue heads and open leases: the dispatcher's view of a shard. `limit` is per quota. */
  queued: defineCall(
    'store.queued',
    v.strictObject({ shard, limit: Count }),
    leaderReply(
      v.strictObject({ term: Count, items: v.array(QueuedItem), waiting: v.record(v.string(), Count), open: v.array(OpenLease) }),
    ),
  ),
  /** The inputs of claimed items, in the order asked for; empty for an unknown item. */
  inputs: defineCall(
    'store.inputs',
    v.strictObject({ shard, places: v.array(v.strictObject({ batch: BatchId, position: Count })) }),
    leaderReply(v.array(v.string())),
  ),
  /** Starts an opaque item and returns the request to send. Only the command's result is remembered for retries, not the bytes. */
  begin: defineCall(
    'store.begin',
    v.strictObject({ shard, id: v.string(), ref: ItemRef, lease: Lease }),
    leaderReply(v.strictObject({ response: BatchReturn, task: v.optional(ItemTask) })),
  ),
  /** Outcomes from cursor `after` on; a long poll, which the leader answers after `holdMs` at the latest. */
  outcomes: defineCall(
    'store.outcomes',
    v.strictObject({ shard, batch: BatchId, host: v.string(), after: Count, maxBytes: Count, holdMs: Count }),
    leaderReply(v.optional(BatchOutcomes)),
  ),
  /** An opaque item's request body; undefined once the item is final. */
  itemBody: defineCall(
    'store.itemBody',
    v.strictObject({ shard, batch: BatchId, host: v.string(), item: ItemId }),
    leaderReply(v.optional(v.instance(Uint8Array))),
  ),
  batches: defineCall('store.lots', v.strictObject({ shard, limit: Count }), leaderReply(v.array(BatchView))),
};
