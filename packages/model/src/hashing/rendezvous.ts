import { hashOf } from './hashOf.js';

/** Orders names for a key so that taking one away moves nobody else: the highest hash of both comes first. */
export function rendezvous<N extends string>(key: string, names: readonly N[]): readonly N[] {
  return names
    .map((name) => ({ name, position: hashOf(`${key}\u0000${name}`) }))
    .sort((a, b) => b.position - a.position || (a.name < b.name ? -1 : 1))
    .map((ranked) => ranked.name);
}
