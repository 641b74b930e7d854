import * as v from 'valibot';
import { Count, PlanId, Configuration } from '@pewterlanding/model';
import { Difference } from '../audit/difference.js';
import { Effect } from './effect.js';
import { PlanOutcome } from './planOutcome.js';

/** A proposed configuration, with all that an operator should read before confirming it. `base` is the version it builds on. */
export const Plan = v.strictObject({
  id: PlanId,
  base: Count,
  madeMs: v.number(),
  differences: v.array(Difference),
  effects: v.array(Effect),
  next: v.optional(Configuration),
  outcome: v.optional(PlanOutcome),
});
export type Plan = v.InferOutput<typeof Plan>;
