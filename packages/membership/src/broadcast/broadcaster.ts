import type { NodeName } from '@pewterlanding/model';
import type { NodeRecord } from '../state-table/nodeRecord.js';
import type { Update } from '../state-table/update.js';
import type { NodePlaces } from '../nodePlaces.js';
import { relayTree } from './relayTree.js';

/** One node's place in the relay tree of those who are live; made anew with every change of them. */
export class Broadcaster {
  /** Parent and children. */
  readonly neighbours: readonly NodeRecord[];
  readonly #self: NodeName;
  readonly #parents: ReadonlyMap<string, NodeName | undefined>;
  readonly #paths = new Map<string, ReadonlySet<string>>();

  constructor(self: NodeName, live: readonly NodeRecord[], places: NodePlaces) {
    this.#self = self;
    this.#parents = new Map<string, NodeName | undefined>(relayTree(live, places));
    const parent = this.#parents.get(self);
    this.neighbours = live.filter(({ name }) => name !== self && (name === parent || this.#parents.get(name) === self));
  }

  /** News as a neighbour needs it: of what is for single nodes, that for those beyond it. */
  narrowed(update: Update, neighbour: NodeName): Update {
    if (update.byNode === undefined) return update;
    const below = this.#parents.get(neighbour) === this.#self;
    const beyond = (name: string): boolean => (below ? this.#above(name).has(neighbour) : !this.#above(name).has(this.#self));
    return { ...update, byNode: Object.fromEntries(Object.entries(update.byNode).filter(([name]) => beyond(name))) };
  }

  /** A node and all its relays up to the root, worked out once. */
  #above(name: string): ReadonlySet<string> {
    const known = this.#paths.get(name);
    if (known !== undefined) return known;
    const path = new Set<string>([name]);
    for (let at = this.#parents.get(name); at !== undefined; at = this.#parents.get(at)) path.add(at);
    this.#paths.set(name, path);
    return path;
  }
}
