import type { LeasedItem } from './leasedItem.js';

/** The items that one tick claims at one batch shard. */
export interface ShardClaim {
  readonly shard: string;
  readonly items: readonly LeasedItem[];
}
