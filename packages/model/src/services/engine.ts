import * as v from 'valibot';
import { Count } from '../schema/index.js';

/** Capacity of the inference engine in each replica of a service. */
export const Engine = v.strictObject({
  /** Requests that a replica runs at once. */
  slots: v.pipe(Count, v.minValue(1)),
  /** Memory, in tokens, that running requests and cached prompt prefixes share. */
  memoryTokens: v.pipe(Count, v.minValue(1)),
  /** Most tokens in one event of a stream. 1 by default. */
  eventTokens: v.optional(v.pipe(Count, v.minValue(1)), 1),
});
export type Engine = v.InferOutput<typeof Engine>;
