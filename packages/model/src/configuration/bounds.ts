import * as v from 'valibot';
import { Count } from '../schema/index.js';

const Ratio = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const Milliseconds = v.pipe(Count, v.minValue(1), v.maxValue(3_600_000));

/** Time limits, ratios and sizes that operators set for the whole fleet; every other constant is a ratio to one of these. */
export const Bounds = v.strictObject({
  /** A proxy serves only while it heard from the leader of the configuration within this time. Milliseconds, 5000 by default. */
  freshnessMs: v.optional(Milliseconds, 5000),
  /** A replica that sent no heartbeat for so long is removed. Milliseconds, 5000 by default. */
  replicaFailureTimeoutMs: v.optional(Milliseconds, 5000),
  /** Period of the dispatcher. Milliseconds, 250 by default. */
  tickMs: v.optional(Milliseconds, 250),
  /** Batch items that proxies may hold at once, however many slots are free. 200 by default. */
  batchConcurrencyLimit: v.optional(Count, 200),
  /** Part of all slots that batch items may always use. 0 to 1, 0.05 by default. */
  batchFloorRatio: v.optional(Ratio, 0.05),
  /** Part of all slots that is kept free of batch items, for live requests. 0 to 1, 0.1 by default. */
  liveReserve: v.optional(Ratio, 0.1),
  /**
   * Part of one minute's quota that batch items may reserve at once. 0 to 0.1, 0.05 by default: items start a little after their
   * reservation, so that more would exceed the quota by more than a tenth.
   */
  waitingRatio: v.optional(v.pipe(Ratio, v.maxValue(0.1, 'waiting work would overrun its share by more than a tenth')), 0.05),
  /** Part of one minute's quota that live requests may reserve at once. 0 to 1, 0.5 by default. */
  liveRatio: v.optional(Ratio, 0.5),
  /** Part of the fleet's ceiling that all proxies together may use while they cannot reach the dispatcher. 0 to 1, 0.5 by default. */
  fallbackRatio: v.optional(Ratio, 0.5),
  /** Number of proxies among which that part is divided. 7 by default. */
  fronts: v.optional(v.pipe(Count, v.minValue(1)), 7),
  /** An item that is DISPATCHED for so long without a start returns to its queue. Milliseconds, 5000 by default. */
  staleMs: v.optional(Milliseconds, 5000),
  /** Longest time from an item's start to its first byte to a replica. Milliseconds, 500 by default. */
  startWindowMs: v.optional(Milliseconds, 500),
  /** Longest backoff of an item that its quota holds back. Milliseconds, 900,000 (15 minutes) by default. */
  requeueCapMs: v.optional(Milliseconds, 900_000),
  /** Times that an item may return to its queue before it is FAILED. 500 by default. */
  requeueAttempts: v.optional(Count, 500),
  /** Requests that may wait in one proxy. 256 by default. */
  queue: v.optional(Count, 256),
  /** Retries, as a part of all requests. 0 to 1, 0.2 by default. */
  retryRatio: v.optional(Ratio, 0.2),
  /** A completed batch and its idempotency key are kept so long after its submission. Milliseconds, 86,400,000 (a day) by default. */
  batchKeepMs: v.optional(v.pipe(Count, v.minValue(60_000)), 86_400_000),
  /** Items in one batch. 1000 by default. */
  maxItems: v.optional(Count, 1000),
});
export type Bounds = v.InferOutput<typeof Bounds>;
