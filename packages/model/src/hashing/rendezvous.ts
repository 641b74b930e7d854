import { hashOf } from './hashOf.js';

/** Rendezvous (highest random weight) hashing: the names in order of preference for a key. Removing a name keeps the others' order. */
export function rendezvous<N extends string>(key: string, names: readonly N[]): readonly N[] {
  return names
    .map((name) => ({ name, position: hashOf(`${key}\u0000${name}`) }))
    .sort((a, b) => b.position - a.position || (a.name < b.name ? -1 : 1))
    .map((ranked) => ranked.name);
}
