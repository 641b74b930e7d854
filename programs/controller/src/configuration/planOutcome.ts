import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What became of a plan when it was confirmed, and the version in force then. */
export const PlanOutcome = v.strictObject({ outcome: v.picklist(['confirmed', 'conflict', 'unknown', 'unacknowledged']), version: Count });
export type PlanOutcome = v.InferOutput<typeof PlanOutcome>;
