import * as v from 'valibot';
import { QuotaName, Count } from '@pewterlanding/model';
import { Cost } from '@pewterlanding/rate-limit';

/** The counter's answer to a quota request, under the counter's term; `retryAfterMs` is 0 where something was granted. */
export const QuotaGrant = v.strictObject({
  term: Count,
  granted: v.array(v.strictObject({ quota: QuotaName, granted: Cost, retryAfterMs: v.number() })),
});
export type QuotaGrant = v.InferOutput<typeof QuotaGrant>;
