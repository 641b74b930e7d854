import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { ItemRef } from '../batch/itemRef.js';
import { Lease } from '../leases/lease.js';
import { BatchRecord } from '../batch/batchRecord.js';

const leased = { ref: ItemRef, lease: Lease };

/** What changes a shard of lots. Times come with the command, so that all members apply alike. */
export const BatchCommand = v.variant('kind', [
  /** With `waitingTokens`, so many may wait on its route; decided here, so that all members refuse alike. */
  v.strictObject({ kind: v.literal('submit'), batch: BatchRecord, waitingTokens: v.optional(Count) }),
  v.strictObject({ kind: v.literal('end'), batch: ItemRef.entries.batch, atMs: v.number(), host: v.optional(v.string()) }),
  /** A new dispatcher makes itself known; leases under older epochs that have not started go back. */
  v.strictObject({ kind: v.literal('fence'), term: Count }),
  v.strictObject({ kind: v.literal('claim'), term: Count, claims: v.array(v.strictObject(leased)) }),
  /** Back to QUEUED. With `tried` it was the budget that refused it, with `failed` a replica that answered 500. */
  v.strictObject({
    kind: v.literal('release'),
    ...leased,
    notBeforeMs: v.number(),
    tried: v.boolean(),
    maxAttempts: Count,
    failed: v.optional(v.boolean()),
    /** Not to be leased before so long after this, by the leader's clock; for senders whose wall clock is not to be trusted. */
    waitMs: v.optional(Count),
  }),
  v.strictObject({ kind: v.literal('start'), ...leased }),
  v.strictObject({ kind: v.literal('close'), ...leased, state: v.picklist(['COMPLETED', 'FAILED']), result: v.string() }),
  /** Lots handed in before then whose items are all final go. */
  v.strictObject({ kind: v.literal('forget'), beforeMs: v.number() }),
  /** Queued items whose route is gone from this version of the setup. */
  v.strictObject({ kind: v.literal('abandon'), refs: v.array(ItemRef), version: Count }),
  /** Lots past the time for which their items are retained. */
  v.strictObject({ kind: v.literal('expire'), batches: v.array(ItemRef.entries.batch) }),
  /** Lots on routes that are final and were kept long enough. */
  v.strictObject({ kind: v.literal('drop'), batches: v.array(ItemRef.entries.batch) }),
  /** The front that had started it is lost. */
  v.strictObject({ kind: v.literal('lost'), ...leased }),
]);
export type BatchCommand = v.InferOutput<typeof BatchCommand>;
