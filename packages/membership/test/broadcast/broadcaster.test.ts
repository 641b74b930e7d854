import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { NodePlaces } from '../../src/index.js';
import type { NodeRecord, Update } from '../../src/index.js';
import { Broadcaster } from '../../src/broadcast/broadcaster.js';

const live: readonly NodeRecord[] = Array.from({ length: 12 }, (_, at) => ({
  name: v.parse(NodeName, `n${at}`),
  role: 'agent' as const,
  zone: v.parse(ZoneName, at % 2 === 0 ? 'a' : 'b'),
  address: v.parse(Address, `127.0.0.${at + 1}:7000`),
  state: 'here' as const,
}));
const all = new Map(live.map(({ name }) => [name, new Broadcaster(name, live, new NodePlaces())]));
const byNode = Object.fromEntries(live.map(({ name }) => [name, name]));
const update: Update = { key: 'fresh', version: [1, 0], volatile: true, value: 1, byNode };

/** Relays the update from one node to all, and returns the parts for single nodes that each received. */
function relayed(from: NodeName): ReadonlyMap<NodeName, readonly string[]> {
  const got = new Map<NodeName, readonly string[]>([[from, Object.keys(byNode)]]);
  const next = [{ at: from, received: update }];
  for (let step = next.shift(); step !== undefined; step = next.shift()) {
    for (const { name } of all.get(step.at)?.neighbours ?? []) {
      if (got.has(name)) continue;
      const received = all.get(step.at)?.narrowed(step.received, name) ?? step.received;
      got.set(name, Object.keys(received.byNode ?? {}));
      next.push({ at: name, received });
    }
  }
  return got;
}

describe('the broadcaster', () => {
  it('brings every node its own part, wherever the update starts', () => {
    for (const { name: from } of live) {
      const got = relayed(from);
      expect(got.size).toEqual(live.length);
      for (const { name } of live) expect(got.get(name)?.includes(name)).toEqual(true);
    }
  });

  it('sends along each link only the parts for the nodes beyond it', () => {
    const from = live[0]?.name;
    if (from === undefined) throw new Error('nobody is live');
    const leaves = live.filter(({ name }) => name !== from && all.get(name)?.neighbours.length === 1);
    expect(leaves.length > 0).toEqual(true);
    for (const { name } of leaves) expect(relayed(from).get(name)).toEqual([name]);
  });

  it('leaves an update without parts for single nodes as it is', () => {
    const { byNode: _, ...whole } = update;
    expect(all.get(live[0]?.name ?? v.parse(NodeName, 'none'))?.narrowed(whole, v.parse(NodeName, 'n1'))).toEqual(whole);
  });
});
