import * as v from 'valibot';
import { QuotaName, Count, RouteName, ServiceName } from '@pewterlanding/model';
import { ItemRef } from './itemRef.js';
import { Lease } from '../leases/index.js';

/** A lease whose item has not closed: its tokens stay reserved with the quota. */
export const OpenLease = v.strictObject({
  ref: ItemRef,
  lease: Lease,
  started: v.boolean(),
  quota: QuotaName,
  service: ServiceName,
  tokens: Count,
  route: v.optional(RouteName),
});
export type OpenLease = v.InferOutput<typeof OpenLease>;
