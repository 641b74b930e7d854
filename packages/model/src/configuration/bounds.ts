import * as v from 'valibot';
import { Count } from '../schema/count.js';

const Ratio = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const Milliseconds = v.pipe(Count, v.minValue(1), v.maxValue(3_600_000));

/** Bounds that operators set for the whole fleet. What is not named here is a ratio to one of these. */
export const Bounds = v.strictObject({
  /** A front carries tasks only while it heard from the setup's owner within this. */
  freshnessMs: v.optional(Milliseconds, 5000),
  /** A replica that did not announce itself for so long is gone. */
  replicaFailureTimeoutMs: v.optional(Milliseconds, 5000),
  tickMs: v.optional(Milliseconds, 250),
  /** Items that may be with fronts at once, whatever room there is. */
  batchConcurrencyLimit: v.optional(Count, 200),
  /** The part of all slots that lots may always use, and the part kept free of lots for live tasks. */
  batchFloorRatio: v.optional(Ratio, 0.05),
  liveReserve: v.optional(Ratio, 0.1),
  /** How much of a minute's share waiting work may hold at once; less than a tenth, for items start a little after they were reserved. */
  waitingRatio: v.optional(v.pipe(Ratio, v.maxValue(0.1, 'waiting work would overrun its share by more than a tenth')), 0.05),
  liveRatio: v.optional(Ratio, 0.5),
  /** The part of the ceiling that fronts may use on their own, all together. */
  fallbackRatio: v.optional(Ratio, 0.5),
  fronts: v.optional(v.pipe(Count, v.minValue(1)), 7),
  /** An item left DISPATCHED for so long goes back. */
  staleMs: v.optional(Milliseconds, 5000),
  /** Between an item's start and its first byte to a replica. */
  startWindowMs: v.optional(Milliseconds, 500),
  requeueCapMs: v.optional(Milliseconds, 900_000),
  requeueAttempts: v.optional(Count, 500),
  /** Tasks that may wait in one front. */
  queue: v.optional(Count, 256),
  /** Tries beyond the first, as a part of all tasks. */
  retryRatio: v.optional(Ratio, 0.2),
  /** A lot whose items are all final is kept so long after it was handed in; so is its key. */
  batchKeepMs: v.optional(v.pipe(Count, v.minValue(60_000)), 86_400_000),
  maxItems: v.optional(Count, 1000),
});
export type Bounds = v.InferOutput<typeof Bounds>;
