import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { BatchRecord, ItemRef } from '../batch/index.js';
import { Lease } from '../leases/index.js';

const leased = { ref: ItemRef, lease: Lease };

/** The commands in the log of a batch shard. Wall clock times (ms) are part of the command, so that all members apply alike. */
export const BatchCommand = v.variant('kind', [
  /** `waitingTokens` limits the tokens that wait on its route, 0 for no limit; checked on applying, so that all members decide alike. */
  v.strictObject({ kind: v.literal('submit'), batch: BatchRecord, waitingTokens: v.optional(Count) }),
  v.strictObject({ kind: v.literal('end'), batch: ItemRef.entries.batch, atMs: v.number(), host: v.optional(v.string()) }),
  /** A new dispatcher makes its term known; leases of older terms that have not started are released. */
  v.strictObject({ kind: v.literal('fence'), term: Count }),
  v.strictObject({ kind: v.literal('claim'), term: Count, claims: v.array(v.strictObject(leased)) }),
  /** Back to QUEUED. `tried`: the quota refused it; `failed`: a replica answered 500. */
  v.strictObject({
    kind: v.literal('release'),
    ...leased,
    notBeforeMs: v.number(),
    tried: v.boolean(),
    maxAttempts: Count,
    failed: v.optional(v.boolean()),
    /** Backoff by the leader's monotonic clock, for senders whose wall clock can't be relied on. */
    waitMs: v.optional(Count),
  }),
  v.strictObject({ kind: v.literal('start'), ...leased }),
  v.strictObject({ kind: v.literal('close'), ...leased, state: v.picklist(['COMPLETED', 'FAILED']), result: v.string() }),
  /** Deletes finished batches that were submitted before then. */
  v.strictObject({ kind: v.literal('forget'), beforeMs: v.number() }),
  /** Fails queued items whose route is missing from this version of the configuration. */
  v.strictObject({ kind: v.literal('abandon'), refs: v.array(ItemRef), version: Count }),
  /** Fails what is not final in batches past their retention time. */
  v.strictObject({ kind: v.literal('expire'), batches: v.array(ItemRef.entries.batch) }),
  /** Deletes finished batches with a route that were kept for as long as it says. */
  v.strictObject({ kind: v.literal('drop'), batches: v.array(ItemRef.entries.batch) }),
  /** The front that holds the lease is lost. */
  v.strictObject({ kind: v.literal('lost'), ...leased }),
]);
export type BatchCommand = v.InferOutput<typeof BatchCommand>;
