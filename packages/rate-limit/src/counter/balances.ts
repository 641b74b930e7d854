import * as v from 'valibot';
import { QuotaName, Count } from '@pewterlanding/model';
import { Cost } from '../buckets/cost.js';

const Signed = v.pipe(v.number(), v.finite());
const Held = v.strictObject({ requests: Signed, tokens: Signed });

/** What a counter that stops hands to the next one: what its purses hold, what is reserved, and how long ago each front was heard. */
export const Balances = v.strictObject({
  purses: v.array(v.strictObject({ quota: QuotaName, main: Held, waiting: Held })),
  open: v.array(v.strictObject({ id: v.string(), quota: QuotaName, from: QuotaName, cost: Cost })),
  fronts: v.array(v.strictObject({ front: v.string(), ageMs: Count })),
});
export type Balances = v.InferOutput<typeof Balances>;
