import type { BatchBounds } from './batchBounds.js';
import type { PoolDemand } from './poolDemand.js';

/**
 * Square-root staffing (Halfin and Whitt): of its slots each replica keeps the mean of its live requests and this many standard deviations
 * free of batch items, so that it is seldom full. Proxies choose replicas by reports that are late, so each needs the room by itself.
 * Items that have waited long get some of it.
 */
const relaxedStaffing = 2;
const urgentStaffing = 0.75;
/** The parts of its time after which an item begins to be urgent, and is fully so. */
const urgentFrom = 0.3;
const urgentUntil = 0.8;

/** Items that are leased and not yet started use no slot: so many times the floor in flight keep the floor's slots in use. */
const floorInFlightRatio = 1.5;

/** Items that may be in flight in a pool: in the slots that live requests and the room for their fluctuations leave; at least the floor. */
export function batchSlots({ slots, replicas, live, waitedRatio }: PoolDemand, bounds: BatchBounds): number {
  const floorSlots = Math.max(1, Math.floor(slots * bounds.batchFloorRatio));
  const floor = Math.min(slots, Math.ceil(floorSlots * floorInFlightRatio));
  const fluctuation = staffingAt(waitedRatio) * Math.sqrt(live * replicas);
  const reserved = live + Math.max(fluctuation, slots * bounds.liveReserve);
  return Math.min(bounds.batchConcurrencyLimit, Math.max(floor, Math.floor(slots - reserved)));
}

function staffingAt(waitedRatio: number): number {
  const urgency = Math.min(1, Math.max(0, (waitedRatio - urgentFrom) / (urgentUntil - urgentFrom)));
  return relaxedStaffing - (relaxedStaffing - urgentStaffing) * urgency;
}
