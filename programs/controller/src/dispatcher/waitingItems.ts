import type { BatchShardClient } from './batchShardClient.js';
import { batchShardNames } from './batchShardNames.js';
import { sumByQuota } from './sumByQuota.js';

/** Queued items by quota, summed over the batch shards. A shard that does not answer counts as empty. */
export async function waitingItems(batches: BatchShardClient, batchShards: number): Promise<Readonly<Record<string, number>>> {
  const shards = batchShardNames(batchShards);
  const views = await Promise.all(shards.map((shard) => batches.queued(shard, 0).catch(() => undefined)));
  return sumByQuota(views.map((view) => view?.waiting ?? {}));
}
