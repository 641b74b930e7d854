import type { NodeName } from '@pewterlanding/model';
import type { NodeRecord } from '../state-table/nodeRecord.js';
import type { NodePlaces } from '../nodePlaces.js';

const fanOut = 4;

/** Each live node's parent in the relay tree: one head a zone, the heads under the root, every zone a heap under its head. */
export function relayTree(live: readonly NodeRecord[], places: NodePlaces): ReadonlyMap<NodeName, NodeName | undefined> {
  const parents = new Map<NodeName, NodeName | undefined>();
  const zones = new Map<string, NodeRecord[]>();
  for (const nodeRecord of live) {
    const nodeRecords = zones.get(nodeRecord.zone);
    if (nodeRecords === undefined) zones.set(nodeRecord.zone, [nodeRecord]);
    else nodeRecords.push(nodeRecord);
  }
  // Controller machines head their zone where they can: news begins there, and they carry no callers' traffic.
  const last = (nodeRecord: NodeRecord): number => (nodeRecord.role === 'controller' ? 0 : 1);
  const order = (a: NodeRecord, b: NodeRecord): number =>
    last(a) - last(b) || places.relay(b.name) - places.relay(a.name) || (a.name < b.name ? -1 : 1);
  const orders = [...zones]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, nodeRecords]) => nodeRecords.sort(order).map((nodeRecord) => nodeRecord.name));
  const root = orders[0]?.[0];
  for (const names of orders) {
    names.forEach((name, position) => {
      const above = names[Math.floor((position - 1) / fanOut)];
      parents.set(name, position === 0 ? (name === root ? undefined : root) : above);
    });
  }
  return parents;
}
