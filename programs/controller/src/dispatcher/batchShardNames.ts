/** The consensus groups that keep the batches. Their names are stored and sent: they keep the word of format 1. */
export function batchShardNames(batchShards: number): readonly string[] {
  return Array.from({ length: batchShards }, (_, shard) => `lots-${shard}`);
}
