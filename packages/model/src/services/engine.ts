import * as v from 'valibot';
import { Count } from '../schema/count.js';

/** What operators say of the engine behind a service's replicas. */
export const Engine = v.strictObject({
  /** Tasks a replica works on at once. */
  slots: v.pipe(Count, v.minValue(1)),
  /** Tokens that running tasks and kept prompt parts share. */
  memoryTokens: v.pipe(Count, v.minValue(1)),
  /** Tokens that one event of a stream carries at the most. */
  eventTokens: v.optional(v.pipe(Count, v.minValue(1)), 1),
});
export type Engine = v.InferOutput<typeof Engine>;
