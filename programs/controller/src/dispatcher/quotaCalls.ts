import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { QuotaView } from '@pewterlanding/rate-limit';
import { defineCall } from '@pewterlanding/runtime';

/** Calls to the holder of the dispatcher's role about its rate limiter. */
export const quotaCalls = {
  quotas: defineCall(
    'controller.branches',
    v.strictObject({}),
    v.strictObject({ term: Count, quotas: v.array(QuotaView), waiting: v.record(v.string(), Count) }),
  ),
};
