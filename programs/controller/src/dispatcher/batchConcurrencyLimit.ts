import type { Configuration } from '@pewterlanding/model';
import type { fleetView } from './fleetView.js';

/** Items out at once, over all services. Where replicas join by themselves, all their slots are. */
export function batchConcurrencyLimit({ joining, bounds }: Configuration, pools: ReturnType<typeof fleetView>): number {
  if (!joining || bounds.batchConcurrencyLimit === 0) return bounds.batchConcurrencyLimit;
  const slots = new Map([...pools.values()].map((pool) => [pool.name, pool.slots]));
  return [...slots.values()].reduce((all, one) => all + one, 0);
}
