import type { NodeName } from '@pewterlanding/model';
import type { NodePlaces } from '../hashing/index.js';
import type { NodeRecord } from '../state-table/index.js';

/** How many children a node of a zone has at most. */
const fanOut = 4;

/**
 * Each live node's parent in the relay tree; undefined for the root. Each zone is a heap under its head, and the heads are children
 * of the root, so that an update crosses each zone's boundary once. Every node derives the same tree from the same live nodes.
 */
export function relayTree(live: readonly NodeRecord[], places: NodePlaces): ReadonlyMap<NodeName, NodeName | undefined> {
  const parents = new Map<NodeName, NodeName | undefined>();
  const zones = new Map<string, NodeRecord[]>();
  for (const nodeRecord of live) {
    const nodeRecords = zones.get(nodeRecord.zone);
    if (nodeRecords === undefined) zones.set(nodeRecord.zone, [nodeRecord]);
    else nodeRecords.push(nodeRecord);
  }
  // Controllers head their zones where there are any: most updates start there, and they carry no requests.
  const rank = (nodeRecord: NodeRecord): number => (nodeRecord.role === 'controller' ? 0 : 1);
  const order = (a: NodeRecord, b: NodeRecord): number =>
    rank(a) - rank(b) || places.relay(b.name) - places.relay(a.name) || (a.name < b.name ? -1 : 1);
  const orders = [...zones]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, nodeRecords]) => nodeRecords.sort(order).map((nodeRecord) => nodeRecord.name));
  const root = orders[0]?.[0];
  for (const names of orders) {
    names.forEach((name, position) => {
      const parent = names[Math.floor((position - 1) / fanOut)];
      const headParent = name === root ? undefined : root;
      parents.set(name, position === 0 ? headParent : parent);
    });
  }
  return parents;
}
