import type { BatchShardClient } from './batchShardClient.js';

/** How many items wait in all shards of the lots, by branch. */
export async function waitingItems(batches: BatchShardClient, batchShards: number): Promise<Readonly<Record<string, number>>> {
  const shards = Array.from({ length: batchShards }, (_, shard) => `lots-${shard}`);
  const views = await Promise.all(shards.map((shard) => batches.queued(shard, 0).catch(() => undefined)));
  const waiting: Record<string, number> = {};
  for (const view of views)
    for (const [quota, items] of Object.entries(view?.waiting ?? {})) waiting[quota] = (waiting[quota] ?? 0) + items;
  return waiting;
}
