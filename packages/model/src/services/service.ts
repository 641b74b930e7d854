import * as v from 'valibot';
import { Count } from '../schema/count.js';
import { Engine } from './engine.js';

const Milliseconds = v.pipe(Count, v.maxValue(3_600_000));

/** A service as operators allow it: what its tasks are like and which replicas may announce themselves for it. */
export const Service = v.strictObject({
  kind: v.picklist(['streamed', 'whole']),
  /** Whether a task may run again after it may have run once. */
  idempotent: v.boolean(),
  replicas: v.strictObject({
    /** Hosts, as IP numbers, that may announce replicas; left out, any may. */
    hosts: v.optional(v.pipe(v.array(v.pipe(v.string(), v.ip('must be an IP number'))), v.minLength(1))),
    maxSlots: v.pipe(Count, v.minValue(1)),
  }),
  /** Circuits that a replica takes from all callers together. */
  connections: v.optional(v.pipe(Count, v.minValue(1))),
  engine: v.optional(Engine),
  outputTokens: v.optional(Count, 200),
  bytesPerToken: v.optional(v.pipe(v.number(), v.gtValue(0)), 4),
  /** How long a task may wait for room. */
  waitMs: v.optional(Milliseconds, 2000),
  /** How long a task may run once it is with a replica. */
  runMs: v.optional(v.pipe(Milliseconds, v.minValue(1)), 30_000),
  /** A stream silent for so long is cut. */
  pieceMs: v.optional(v.pipe(Milliseconds, v.minValue(1)), 10_000),
  /** Statuses by which a replica says for sure that it did not run the task. */
  notRun: v.optional(v.array(v.pipe(Count, v.minValue(400), v.maxValue(599))), []),
  maxTaskBytes: v.optional(v.pipe(Count, v.minValue(1)), 1 << 20),
  maxReturnBytes: v.optional(v.pipe(Count, v.minValue(1)), 4 << 20),
  /** The operator's own words for this item, kept whole to be read back. */
  sourceDocument: v.optional(v.unknown()),
});
export type Service = v.InferOutput<typeof Service>;
