import * as v from 'valibot';
import { Count, PlanId } from '@pewterlanding/model';
import { Difference } from './difference.js';

/** A version of the configuration that was put in force: by which plan, when (wall clock), and what it changed. */
export const Confirmation = v.strictObject({ version: Count, plan: PlanId, atMs: v.number(), differences: v.array(Difference) });
export type Confirmation = v.InferOutput<typeof Confirmation>;
