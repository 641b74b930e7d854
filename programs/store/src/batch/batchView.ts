import * as v from 'valibot';
import { QuotaName, Count, BatchId, ServiceName } from '@pewterlanding/model';

/** A batch as callers see it. */
export const BatchView = v.strictObject({
  id: BatchId,
  quota: QuotaName,
  service: ServiceName,
  /** Of the submitted body: distinguishes a retry from a different batch under the same idempotency key. */
  bodyHash: v.string(),
  createdMs: v.number(),
  ended: v.boolean(),
  items: Count,
  /** Items by state. */
  counts: v.record(v.string(), Count),
});
export type BatchView = v.InferOutput<typeof BatchView>;
