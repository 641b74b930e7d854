import * as v from 'valibot';
import { QuotaName, Count } from '@pewterlanding/model';
import { Cost } from '../buckets/index.js';

const Signed = v.pipe(v.number(), v.finite());
const Balance = v.strictObject({ requests: Signed, tokens: Signed });

/** The state that a counter which stops transfers to the next one. Sent between nodes, so its field names are fixed. */
export const Balances = v.strictObject({
  /** Bucket balances by quota; negative in debt. */
  purses: v.array(v.strictObject({ quota: QuotaName, main: Balance, waiting: Balance })),
  /** Open reservations. */
  open: v.array(v.strictObject({ id: v.string(), quota: QuotaName, from: QuotaName, cost: Cost })),
  /** ms since each front was heard; clocks of two nodes have no common zero. */
  fronts: v.array(v.strictObject({ front: v.string(), ageMs: Count })),
});
export type Balances = v.InferOutput<typeof Balances>;
