import * as v from 'valibot';
import { SingletonRole } from '@pewterlanding/agent';
import { ChangeOutcome } from './changeOutcome.js';
import { PlanOutcome } from './planOutcome.js';

/** What a command on the configuration shard returns; remembered commands store it. */
export const ConfigurationReturn = v.strictObject({
  outcome: v.optional(PlanOutcome),
  singletonRole: v.optional(SingletonRole),
  change: v.optional(ChangeOutcome),
  empty: v.optional(v.picklist(['started', 'unknown', 'too few'])),
});
export type ConfigurationReturn = v.InferOutput<typeof ConfigurationReturn>;
