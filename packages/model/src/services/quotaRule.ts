import * as v from 'valibot';
import { QuotaName } from '../names/quotaName.js';

const Share = v.pipe(v.number(), v.gtValue(0, 'must be above 0'), v.maxValue(1, 'must be at most 1'));

/** A branch as operators plant it: its share of its parent, or of the fleet where it has none. */
export const QuotaRule = v.strictObject({ parent: v.optional(QuotaName), share: Share, lends: v.optional(v.boolean(), true) });
export type QuotaRule = v.InferOutput<typeof QuotaRule>;
