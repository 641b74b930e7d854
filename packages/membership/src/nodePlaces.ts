import { hashOf } from '@pewterlanding/model';

/** Hashes of nodes' names, worked out once for each: ring and tree are derived anew at each arrival. */
export class NodePlaces {
  readonly #ring = new Map<string, number>();
  readonly #relay = new Map<string, number>();

  /** Where a node stands on the ring. */
  ring(name: string): number {
    return placeIn(this.#ring, name, name);
  }

  /** How early a node relays for others: the highest first. */
  relay(name: string): number {
    return placeIn(this.#relay, name, `relay\u0000${name}`);
  }
}

function placeIn(places: Map<string, number>, name: string, text: string): number {
  const known = places.get(name);
  if (known !== undefined) return known;
  const position = hashOf(text);
  places.set(name, position);
  return position;
}
