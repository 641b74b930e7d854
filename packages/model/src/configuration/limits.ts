import * as v from 'valibot';
import { Count } from '../schema/index.js';

const Positive = v.pipe(Count, v.minValue(1));

/** Limits of a proxy's HTTP server for its clients. */
export const Limits = v.strictObject({
  /** Bytes of a request's header; more is answered with 431. 16,384 by default. */
  headerBytes: v.optional(Positive, 16_384),
  /** Bytes of a request's body; more is answered with 413. 4,194,304 (4 MiB) by default. */
  bodyBytes: v.optional(Positive, 4_194_304),
  /** Time in which the header must be complete, or 408 is answered. Milliseconds, 3000 by default. */
  headerMs: v.optional(Positive, 3000),
  /** A connection that is idle for so long is closed. Milliseconds, 15,000 by default. */
  idleMs: v.optional(Positive, 15_000),
});
export type Limits = v.InferOutput<typeof Limits>;
