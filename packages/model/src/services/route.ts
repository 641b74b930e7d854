import * as v from 'valibot';
import { QuotaName } from '../names/quotaName.js';
import { Count } from '../schema/count.js';
import { ServiceName } from '../names/serviceName.js';

const Milliseconds = v.pipe(Count, v.minValue(1), v.maxValue(86_400_000));

/** Where opaque tasks go: those of one host whose path begins with the prefix. */
export const Route = v.strictObject({
  host: v.pipe(v.string(), v.minLength(1), v.maxLength(253), v.toLowerCase()),
  /** Begins and ends with a slash, so that whole path segments match. */
  prefix: v.pipe(v.string(), v.maxLength(2048), v.regex(/^\/([^?#\s]*\/)?$/, 'must begin and end with a slash')),
  /** Streams of events, whole returns, or lots of tasks that are handed in and run later. */
  kind: v.picklist(['streamed', 'whole', 'batch']),
  /** Whether one try may run more than once. */
  idempotent: v.optional(v.boolean(), false),
  /** Whether a stream may be continued after its last event at another replica. */
  resumable: v.optional(v.boolean(), false),
  /** The services that share its tasks, by gain; a gain of 0 gets none. */
  services: v.pipe(v.array(v.strictObject({ service: ServiceName, weight: Count })), v.minLength(1)),
  /** The longest that a task is held. */
  timeoutMs: v.optional(Milliseconds),
  /** Within it a return earns its full worth: the first event of a stream, the whole of a whole one, the acceptance of a lot. */
  latencyTargetMs: v.optional(Milliseconds),
  /** The longest pause between events at which a stream is still in time. */
  gapMs: v.optional(Milliseconds),
  /** 0 comes first. */
  urgency: v.optional(v.pipe(Count, v.maxValue(9)), 5),
  /** Replicas that one try may be sent to at the most. */
  attempts: v.optional(v.pipe(Count, v.minValue(1)), 1),
  /** Tasks name the parts of their prompt, which replicas keep. */
  sticky: v.optional(v.boolean(), false),
  /** For lots: so long after it was sent all results are due, an item may be given up, and how many tokens may wait (0: no limit). */
  batch: v.optional(
    v.strictObject({ dueMs: v.optional(Milliseconds), retainMs: v.optional(Milliseconds), waitingTokens: v.optional(Count, 0) }),
  ),
  quota: v.optional(QuotaName),
  /** The operator's own words for this item, kept whole to be read back. */
  sourceDocument: v.optional(v.unknown()),
});
export type Route = v.InferOutput<typeof Route>;
