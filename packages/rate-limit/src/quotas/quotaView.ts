import * as v from 'valibot';
import { QuotaName } from '@pewterlanding/model';
import { Cost } from '../buckets/index.js';

const Signed = v.strictObject({ requests: v.number(), tokens: v.number() });

/** One quota as operators read it. */
export const QuotaView = v.strictObject({
  quota: QuotaName,
  /** Its own share of the fleet, 0 to 1. */
  share: v.number(),
  used: Signed,
  lent: Cost,
  borrowed: Cost,
  /** Capacity of the buckets for waiting work. */
  waitingLimit: Cost,
  /** Balances of the buckets for all work. */
  held: Signed,
});
export type QuotaView = v.InferOutput<typeof QuotaView>;
