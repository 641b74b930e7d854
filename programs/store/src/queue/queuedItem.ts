import * as v from 'valibot';
import { QuotaName, Count, ItemId, RouteName, ServiceName } from '@pewterlanding/model';
import { ItemRef } from '../batch/index.js';

/** A queued item as the dispatcher sees it; times by the wall clock, ms. */
export const QueuedItem = v.strictObject({
  ref: ItemRef,
  quota: QuotaName,
  service: ServiceName,
  tokens: Count,
  queuedAtMs: v.number(),
  dueAtMs: v.number(),
  /** Of an opaque item, whose service and quota follow from the configuration in force. Its body stays in the shard until it starts. */
  route: v.optional(v.strictObject({ item: ItemId, name: RouteName, host: v.string(), version: Count })),
  attempts: Count,
});
export type QueuedItem = v.InferOutput<typeof QueuedItem>;
