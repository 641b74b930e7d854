import type { NodeName } from '@pewterlanding/model';
import type { Log } from '@pewterlanding/runtime';
import { Broadcaster } from '../broadcast/index.js';
import { Ring } from '../failure-detector/index.js';
import { NodePlaces } from '../hashing/index.js';
import type { NodeRecord } from '../state-table/index.js';

/** All node records, and what is derived from the live ones: the ring of watchers and this node's place in the relay tree. */
export class NodeDirectory {
  readonly #self: NodeName;
  readonly #watcherCount: number;
  readonly #log: Log;
  readonly #places = new NodePlaces();
  /** By their keys in the state table. */
  readonly #nodeRecords = new Map<string, NodeRecord>();
  #live: readonly NodeRecord[] = [];
  #byName: ReadonlyMap<NodeName, NodeRecord> = new Map();
  #ring: Ring<NodeName>;
  #broadcaster: Broadcaster;

  constructor(self: NodeName, watcherCount: number, log: Log) {
    this.#self = self;
    this.#watcherCount = watcherCount;
    this.#log = log;
    this.#ring = new Ring([], watcherCount, this.#places);
    this.#broadcaster = new Broadcaster(self, [], this.#places);
  }

  /** The records of all live nodes, this one included, by name. */
  get live(): readonly NodeRecord[] {
    return this.#live;
  }

  /** Every record ever received, whatever its state. */
  get all(): readonly NodeRecord[] {
    return [...this.#nodeRecords.values()];
  }

  /** The ring of the live nodes. */
  get ring(): Ring<NodeName> {
    return this.#ring;
  }

  /** This node's position in the relay tree of the live nodes. */
  get broadcaster(): Broadcaster {
    return this.#broadcaster;
  }

  /** The record of a live node. */
  get(name: NodeName): NodeRecord | undefined {
    return this.#byName.get(name);
  }

  /** Holds a record under its key, or drops the key; `rebuild` has to follow. */
  set(key: string, nodeRecord: NodeRecord | undefined): void {
    if (nodeRecord === undefined) this.#nodeRecords.delete(key);
    else this.#nodeRecords.set(key, nodeRecord);
  }

  /** Derives the ring and the relay tree from the live nodes. */
  rebuild(): void {
    const before = this.#byName;
    this.#live = this.all.filter((nodeRecord) => nodeRecord.state === 'here').sort((a, b) => (a.name < b.name ? -1 : 1));
    this.#byName = new Map(this.#live.map((nodeRecord) => [nodeRecord.name, nodeRecord]));
    this.#ring = new Ring([...this.#byName.keys()], this.#watcherCount, this.#places);
    this.#broadcaster = new Broadcaster(this.#self, this.#live, this.#places);
    for (const name of this.#byName.keys()) if (!before.has(name)) this.#log.info(`${name} is here`);
    for (const name of before.keys()) if (!this.#byName.has(name)) this.#log.info(`${name} is away`);
  }
}
