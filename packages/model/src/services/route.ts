import * as v from 'valibot';
import { QuotaName, ServiceName } from '../names/index.js';
import { Count } from '../schema/index.js';

const Milliseconds = v.pipe(Count, v.minValue(1), v.maxValue(86_400_000));

/** A route of opaque requests: those to one host whose path begins with the prefix; the longest prefix wins. */
export const Route = v.strictObject({
  /** Host name of the request, without port, compared in lower case. */
  host: v.pipe(v.string(), v.minLength(1), v.maxLength(253), v.toLowerCase()),
  /** Path prefix; begins and ends with a slash, so that whole path segments match. */
  prefix: v.pipe(v.string(), v.maxLength(2048), v.regex(/^\/([^?#\s]*\/)?$/, 'must begin and end with a slash')),
  /** `streamed`: responses are event streams; `whole`: one response each; `batch`: batches of items that run asynchronously. */
  kind: v.picklist(['streamed', 'whole', 'batch']),
  /** Whether a request may be executed more than once. False by default. */
  idempotent: v.optional(v.boolean(), false),
  /** Whether a broken stream may be resumed after its last event at another replica. False by default. */
  resumable: v.optional(v.boolean(), false),
  /** Services among which requests are divided in proportion to the weights; a weight of 0 gets none. */
  services: v.pipe(v.array(v.strictObject({ service: ServiceName, weight: Count })), v.minLength(1)),
  /** Upper limit of a request's deadline, whatever the request says. Milliseconds, a day by default. */
  timeoutMs: v.optional(Milliseconds),
  /**
   * Latency target: of the first event of a stream, of a whole response, of the acceptance of a batch. Milliseconds, none by default.
   */
  latencyTargetMs: v.optional(Milliseconds),
  /** Target for the longest gap between two events of a stream. Milliseconds, none by default. */
  gapMs: v.optional(Milliseconds),
  /** Priority, 0 (first) to 9, 5 by default. */
  urgency: v.optional(v.pipe(Count, v.maxValue(9)), 5),
  /** Most replicas that one request is sent to. 1 by default: no retry. */
  attempts: v.optional(v.pipe(Count, v.minValue(1)), 1),
  /** Whether requests name their prompt prefixes, so that they go to replicas that have these cached. False by default. */
  sticky: v.optional(v.boolean(), false),
  /**
   * For batches, counted from the submission: `dueMs` until all results are due, `retainMs` until what has not completed is abandoned
   * (both in milliseconds, without default); `waitingTokens`: tokens that may wait, 0 (the default) for no limit.
   */
  batch: v.optional(
    v.strictObject({ dueMs: v.optional(Milliseconds), retainMs: v.optional(Milliseconds), waitingTokens: v.optional(Count, 0) }),
  ),
  /** The quota that its batches use. */
  quota: v.optional(QuotaName),
  /** The operator's own document of this route, kept unchanged to be read back. */
  sourceDocument: v.optional(v.unknown()),
});
export type Route = v.InferOutput<typeof Route>;
