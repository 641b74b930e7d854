import * as v from 'valibot';
import { QuotaName, Count, BatchId, ServiceName } from '@pewterlanding/model';

/** A lot as callers see it. */
export const BatchView = v.strictObject({
  id: BatchId,
  quota: QuotaName,
  service: ServiceName,
  /** Of what was handed in: tells a repeat from another lot under the same key. */
  bodyHash: v.string(),
  createdMs: v.number(),
  ended: v.boolean(),
  items: Count,
  counts: v.record(v.string(), Count),
});
export type BatchView = v.InferOutput<typeof BatchView>;
