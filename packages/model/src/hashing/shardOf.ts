import { hashOf } from './hashOf.js';

/** The part a key belongs to, as `lots/3`. */
export function shardOf(kind: 'lots' | 'services', key: string, parts: number): string {
  return `${kind}-${hashOf(key) % parts}`;
}
