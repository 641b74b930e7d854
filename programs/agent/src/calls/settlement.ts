import * as v from 'valibot';
import { Count, ServiceName } from '@pewterlanding/model';
import { ItemRef, Lease } from '@pewterlanding/store';

/** How a lease ended, for the counter: what it used, or nothing if it did not run. */
export const Settlement = v.strictObject({
  ref: ItemRef,
  lease: Lease,
  ran: v.boolean(),
  tokens: Count,
  service: ServiceName,
  outputTokens: Count,
});
export type Settlement = v.InferOutput<typeof Settlement>;
