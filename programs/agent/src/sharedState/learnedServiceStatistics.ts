import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** What the service shard keeps across restarts of all fronts: usual output tokens, and by address which replica incarnation left. */
export const LearnedServiceStatistics = v.strictObject({ outputTokens: v.optional(Count), left: v.record(v.string(), Count) });
export type LearnedServiceStatistics = v.InferOutput<typeof LearnedServiceStatistics>;
