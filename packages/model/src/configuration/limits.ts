import * as v from 'valibot';
import { Count } from '../schema/count.js';

const Positive = v.pipe(Count, v.minValue(1));

/** What a downstream may send, and how long it may take or stay idle. */
export const Limits = v.strictObject({
  headerBytes: v.optional(Positive, 16_384),
  bodyBytes: v.optional(Positive, 4_194_304),
  headerMs: v.optional(Positive, 3000),
  idleMs: v.optional(Positive, 15_000),
});
export type Limits = v.InferOutput<typeof Limits>;
