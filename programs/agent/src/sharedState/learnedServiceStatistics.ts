import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What outlasts every front of a service: its usual output, and the replica lives that ended, by address. */
export const LearnedServiceStatistics = v.strictObject({ outputTokens: v.optional(Count), left: v.record(v.string(), Count) });
export type LearnedServiceStatistics = v.InferOutput<typeof LearnedServiceStatistics>;
