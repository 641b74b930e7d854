import * as v from 'valibot';
import { leaderReply } from '@pewterlanding/consensus';
import { Count, ItemId, BatchId } from '@pewterlanding/model';
import { defineCall } from '@pewterlanding/runtime';
import { ItemRef } from '../batch/itemRef.js';
import { ItemTask } from '../batch/itemTask.js';
import { Lease } from '../leases/lease.js';
import { BatchCommand } from '../shard/batchCommand.js';
import { BatchOutcomes } from '../batch/batchOutcomes.js';
import { BatchReturn } from '../batch/batchReturn.js';
import { BatchView } from '../batch/batchView.js';
import { OpenLease } from '../batch/openLease.js';
import { QueuedItem } from '../queue/queuedItem.js';
import { ResultView } from '../batch/resultView.js';

const shard = v.string();

/** What is asked of a shard of lots. Every change bears being sent twice. */
export const storeCalls = {
  change: defineCall('store.change', v.strictObject({ shard, id: v.string(), command: BatchCommand }), leaderReply(BatchReturn)),
  batch: defineCall('store.lot', v.strictObject({ shard, batch: BatchId }), leaderReply(v.optional(BatchView))),
  results: defineCall(
    'store.results',
    v.strictObject({ shard, batch: BatchId, after: Count, limit: Count }),
    leaderReply(v.optional(v.strictObject({ batch: BatchView, results: v.array(ResultView), next: Count, done: v.boolean() }))),
  ),
  /** What waits, and what is leased: the dispatcher's view of a shard. */
  queued: defineCall(
    'store.queued',
    v.strictObject({ shard, limit: Count }),
    leaderReply(
      v.strictObject({ term: Count, items: v.array(QueuedItem), waiting: v.record(v.string(), Count), open: v.array(OpenLease) }),
    ),
  ),
  /** The inputs of items that were claimed. */
  inputs: defineCall(
    'store.inputs',
    v.strictObject({ shard, places: v.array(v.strictObject({ batch: BatchId, position: Count })) }),
    leaderReply(v.array(v.string())),
  ),
  /** Starts an opaque item and brings what to send; only the start's return is remembered, never the bytes. */
  begin: defineCall(
    'store.begin',
    v.strictObject({ shard, id: v.string(), ref: ItemRef, lease: Lease }),
    leaderReply(v.strictObject({ response: BatchReturn, task: v.optional(ItemTask) })),
  ),
  /** Outcomes from a position on; held at the leader until there is one. */
  outcomes: defineCall(
    'store.outcomes',
    v.strictObject({ shard, batch: BatchId, host: v.string(), after: Count, maxBytes: Count, holdMs: Count }),
    leaderReply(v.optional(BatchOutcomes)),
  ),
  /** The bytes of an opaque item that is not final. */
  itemBody: defineCall(
    'store.itemBody',
    v.strictObject({ shard, batch: BatchId, host: v.string(), item: ItemId }),
    leaderReply(v.optional(v.instance(Uint8Array))),
  ),
  batches: defineCall('store.lots', v.strictObject({ shard, limit: Count }), leaderReply(v.array(BatchView))),
};
