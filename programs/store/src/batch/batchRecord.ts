import * as v from 'valibot';
import { QuotaName, Count, BatchId, ServiceName } from '@pewterlanding/model';
import { Item } from './item.js';
import { BatchRoute } from './batchRoute.js';

/** A lot as a shard keeps it. */
export const BatchRecord = v.strictObject({
  id: BatchId,
  quota: QuotaName,
  service: ServiceName,
  /** Of the body that was handed in, to tell a repeat from a different lot under the same key. */
  bodyHash: v.string(),
  idempotent: v.boolean(),
  createdMs: v.number(),
  endedMs: v.optional(v.number()),
  /** Expected tokens of an item beyond its input, when the lot was handed in. */
  outputTokens: Count,
  bytesPerToken: v.number(),
  items: v.array(Item),
  /** Places of final items in order of finishing; it only grows. */
  order: v.optional(v.array(Count)),
  /** Of a lot of opaque items. */
  route: v.optional(BatchRoute),
});
export type BatchRecord = v.InferOutput<typeof BatchRecord>;
