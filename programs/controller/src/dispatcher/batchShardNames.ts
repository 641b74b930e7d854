import { shardNames } from '../placement/index.js';

/** The consensus groups that keep the batches. */
export function batchShardNames(batchShards: number): readonly string[] {
  return shardNames('lots', batchShards);
}
