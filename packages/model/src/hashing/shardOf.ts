import { hashOf } from './hashOf.js';

/** The name of the shard of a key, such as `lots-3`. Stored data depends on it: `parts` must stay the same. */
export function shardOf(kind: 'lots' | 'services', key: string, parts: number): string {
  return `${kind}-${hashOf(key) % parts}`;
}
