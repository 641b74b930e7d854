import * as v from 'valibot';
import { QuotaName } from '../names/index.js';

const Share = v.pipe(v.number(), v.gtValue(0, 'must be above 0'), v.maxValue(1, 'must be at most 1'));

/** A quota: a share of its parent quota, or of the fleet's ceiling where it has no parent. */
export const QuotaRule = v.strictObject({
  /** Left out: the fleet. */
  parent: v.optional(QuotaName),
  /** Part of the parent's amount, above 0 and at most 1. */
  share: Share,
  /** Whether other quotas with waiting work may use what this one does not. True by default. */
  lends: v.optional(v.boolean(), true),
});
export type QuotaRule = v.InferOutput<typeof QuotaRule>;
