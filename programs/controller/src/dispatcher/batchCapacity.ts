import type { BatchBounds } from './batchBounds.js';
import { batchSlots } from './batchSlots.js';
import type { PoolDemand } from './poolDemand.js';

/** How many more items of a service may be dispatched: the slots that live requests leave, less the items in flight. */
export function batchCapacity(demand: PoolDemand, inFlight: number, bounds: BatchBounds): number {
  return Math.max(0, batchSlots(demand, bounds) - inFlight);
}
