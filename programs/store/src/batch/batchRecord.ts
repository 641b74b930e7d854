import * as v from 'valibot';
import { QuotaName, Count, BatchId, ServiceName } from '@pewterlanding/model';
import { Item } from './item.js';
import { BatchRoute } from './batchRoute.js';

/** A batch as a shard stores it. */
export const BatchRecord = v.strictObject({
  id: BatchId,
  quota: QuotaName,
  service: ServiceName,
  /** Of the submitted body: distinguishes a retry from a different batch under the same idempotency key. */
  bodyHash: v.string(),
  idempotent: v.boolean(),
  createdMs: v.number(),
  endedMs: v.optional(v.number()),
  /** Expected output tokens of an item, as of the submission. */
  outputTokens: Count,
  bytesPerToken: v.number(),
  items: v.array(Item),
  /** Positions of final items in order of finishing; append-only. */
  order: v.optional(v.array(Count)),
  /** Of a batch of opaque items. */
  route: v.optional(BatchRoute),
});
export type BatchRecord = v.InferOutput<typeof BatchRecord>;
