interface BatchCapacityBounds {
  /** Items of batches in flight at once, over all services. */
  readonly batchConcurrencyLimit: number;
  /** The part of a pool's slots that live requests cannot take from batches. */
  readonly batchFloorRatio: number;
  /** The part of a pool's slots that is kept free for live requests. */
  readonly liveReserve: number;
}

/** How many more items of a service may be dispatched: the slots that live requests leave, at least the floor, less those in flight. */
export function batchCapacity(slots: number, live: number, inFlight: number, bounds: BatchCapacityBounds): number {
  const floor = Math.min(slots, Math.max(1, Math.floor(slots * bounds.batchFloorRatio)));
  const leftByLive = Math.floor(slots * (1 - bounds.liveReserve)) - live;
  const limit = Math.min(bounds.batchConcurrencyLimit, Math.max(floor, leftByLive));
  return Math.max(0, limit - inFlight);
}
