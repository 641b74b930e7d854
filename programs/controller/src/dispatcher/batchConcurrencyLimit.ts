import type { Configuration } from '@pewterlanding/model';
import type { ReplicaPool } from './replicaPool.js';

/**
 * Items of batches in flight at once, over all services: the configured limit; where replicas join by themselves, the slots of all
 * pools, unless the limit is 0, which pauses dispatching.
 */
export function batchConcurrencyLimit({ joining, bounds }: Configuration, pools: ReadonlyMap<string, ReplicaPool>): number {
  if (!joining || bounds.batchConcurrencyLimit === 0) return bounds.batchConcurrencyLimit;
  const slotsOfPools = new Map([...pools.values()].map((pool) => [pool.name, pool.slots]));
  return [...slotsOfPools.values()].reduce((sum, slots) => sum + slots, 0);
}
