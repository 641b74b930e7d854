import * as v from 'valibot';
import { QuotaName, Count, ItemId, RouteName, ServiceName } from '@pewterlanding/model';
import { ItemRef, Lease } from '@pewterlanding/store';

/** One leased item that the dispatcher sends to a front. */
export const LeaseOffer = v.strictObject({
  shard: v.string(),
  ref: ItemRef,
  lease: Lease,
  quota: QuotaName,
  service: ServiceName,
  tokens: Count,
  input: v.string(),
  /** Of an opaque item, whose body comes from the shard's leader when it starts. */
  item: v.optional(v.strictObject({ id: ItemId, route: RouteName, host: v.string(), version: Count, dueAtMs: v.number() })),
});
export type LeaseOffer = v.InferOutput<typeof LeaseOffer>;
