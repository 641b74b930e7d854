import * as v from 'valibot';
import { Count, ServiceName } from '@pewterlanding/model';
import { ItemRef, Lease } from '@pewterlanding/store';

/** How a lease ended, for the counter: the tokens that it used, or that it did not run and is to be refunded. */
export const Settlement = v.strictObject({
  ref: ItemRef,
  lease: Lease,
  ran: v.boolean(),
  tokens: Count,
  service: ServiceName,
  outputTokens: Count,
});
export type Settlement = v.InferOutput<typeof Settlement>;
