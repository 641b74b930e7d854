import * as v from 'valibot';
import { QuotaName } from '@pewterlanding/model';
import { Cost } from '../buckets/cost.js';

const Signed = v.strictObject({ requests: v.number(), tokens: v.number() });

/** One branch as operators read it. */
export const QuotaView = v.strictObject({
  quota: QuotaName,
  share: v.number(),
  used: Signed,
  lent: Cost,
  borrowed: Cost,
  waitingLimit: Cost,
  held: Signed,
});
export type QuotaView = v.InferOutput<typeof QuotaView>;
