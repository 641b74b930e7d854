import * as v from 'valibot';
import { Count, PlanId } from '@pewterlanding/model';
import { Difference } from './difference.js';

/** One line of the setup's history. */
export const Confirmation = v.strictObject({ version: Count, plan: PlanId, atMs: v.number(), differences: v.array(Difference) });
export type Confirmation = v.InferOutput<typeof Confirmation>;
