import * as v from 'valibot';
import { QuotaName, Count, ItemId, RouteName, ServiceName } from '@pewterlanding/model';
import { ItemRef } from '../batch/itemRef.js';

/** A queued item as the dispatcher sees it. */
export const QueuedItem = v.strictObject({
  ref: ItemRef,
  quota: QuotaName,
  service: ServiceName,
  tokens: Count,
  queuedAtMs: v.number(),
  dueAtMs: v.number(),
  /** Of an opaque item; its service and branch follow from the setup in force. Its bytes stay where they are until it starts. */
  route: v.optional(v.strictObject({ item: ItemId, name: RouteName, host: v.string(), version: Count })),
  attempts: Count,
});
export type QueuedItem = v.InferOutput<typeof QueuedItem>;
