import { hashOf } from '@pewterlanding/model';

/** Hashes of node names, computed once for each: the ring and the relay tree are derived again at every change. */
export class NodePlaces {
  readonly #ring = new Map<string, number>();
  readonly #relay = new Map<string, number>();

  /** A node's position on the ring of watchers. */
  ring(name: string): number {
    return memoizedHash(this.#ring, name, name);
  }

  /** A node's rank in the relay tree: the highest is nearest to the root. */
  relay(name: string): number {
    return memoizedHash(this.#relay, name, `relay\u0000${name}`);
  }
}

function memoizedHash(hashes: Map<string, number>, name: string, text: string): number {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  const hash = hashOf(text);
  hashes.set(name, hash);
  return hash;
}
