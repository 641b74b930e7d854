import { hashOf } from './hashOf.js';

/**
 * The name of the shard of a key among `parts` shards, such as `lots-3` (shards of batches). Files and messages hold these names, and
 * `parts` must not change once data is stored.
 */
export function shardOf(kind: 'lots' | 'services', key: string, parts: number): string {
  return `${kind}-${hashOf(key) % parts}`;
}
