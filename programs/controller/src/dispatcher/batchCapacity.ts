interface SlotPoolBounds {
  readonly batchConcurrencyLimit: number;
  readonly batchFloorRatio: number;
  readonly liveReserve: number;
}

/** How many more items of a service may go out: what live tasks leave, never less than the floor, less what is out. */
export function batchCapacity(slots: number, live: number, out: number, bounds: SlotPoolBounds): number {
  const floor = Math.min(slots, Math.max(1, Math.floor(slots * bounds.batchFloorRatio)));
  const left = Math.floor(slots * (1 - bounds.liveReserve)) - live;
  return Math.max(0, Math.min(bounds.batchConcurrencyLimit, Math.max(floor, left)) - out);
}
