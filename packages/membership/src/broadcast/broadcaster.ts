import type { NodeName } from '@pewterlanding/model';
import type { NodePlaces } from '../hashing/index.js';
import type { NodeRecord, Update } from '../state-table/index.js';
import { relayTree } from './relayTree.js';

/** One node's position in the relay tree of the live nodes; a new one is made whenever these change. */
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

  /** An update as it is sent to a neighbour: of the parts for single nodes, only those for nodes on the neighbour's side of the link. */
  narrowed(update: Update, neighbour: NodeName): Update {
    if (update.byNode === undefined) return update;
    const isChild = this.#parents.get(neighbour) === this.#self;
    const isBeyond = (name: string): boolean => (isChild ? this.#pathToRoot(name).has(neighbour) : !this.#pathToRoot(name).has(this.#self));
    return { ...update, byNode: Object.fromEntries(Object.entries(update.byNode).filter(([name]) => isBeyond(name))) };
  }

  /** A node and its ancestors up to the root; computed once for each node. */
  #pathToRoot(name: string): ReadonlySet<string> {
    const known = this.#paths.get(name);
    if (known !== undefined) return known;
    const path = new Set<string>([name]);
    for (let at = this.#parents.get(name); at !== undefined; at = this.#parents.get(at)) path.add(at);
    this.#paths.set(name, path);
    return path;
  }
}
