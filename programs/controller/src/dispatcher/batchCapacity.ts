import { batchSlots } from './batchSlots.js';

/** How many more items of a service may be dispatched: the slots that live requests leave, less the items in flight. */
export function batchCapacity(input: Parameters<typeof batchSlots>[0], inFlight: number, bounds: Parameters<typeof batchSlots>[1]): number {
  return Math.max(0, batchSlots(input, bounds) - inFlight);
}
