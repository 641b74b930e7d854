import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { NodePlaces } from '../src/index.js';
import type { NodeRecord, Update } from '../src/index.js';
import { Broadcaster } from '../src/broadcast/broadcaster.js';

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

/** Carries news from one node to all, and returns what each got of what is for single nodes. */
function carried(from: NodeName): ReadonlyMap<NodeName, readonly string[]> {
  const got = new Map<NodeName, readonly string[]>([[from, Object.keys(byNode)]]);
  const next = [{ at: from, held: update }];
  for (let step = next.shift(); step !== undefined; step = next.shift()) {
    for (const { name } of all.get(step.at)?.neighbours ?? []) {
      if (got.has(name)) continue;
      const held = all.get(step.at)?.narrowed(step.held, name) ?? step.held;
      got.set(name, Object.keys(held.byNode ?? {}));
      next.push({ at: name, held });
    }
  }
  return got;
}

describe('the relays of a tree', () => {
  it('bring every node what is for it alone, wherever the news began', () => {
    for (const { name: from } of live) {
      const got = carried(from);
      expect(got.size).toEqual(live.length);
      for (const { name } of live) expect(got.get(name)?.includes(name)).toEqual(true);
    }
  });

  it('carry no more than what is for the nodes beyond each link', () => {
    const from = live[0]?.name;
    if (from === undefined) throw new Error('nobody is live');
    const leaves = live.filter(({ name }) => name !== from && all.get(name)?.neighbours.length === 1);
    expect(leaves.length > 0).toEqual(true);
    for (const { name } of leaves) expect(carried(from).get(name)).toEqual([name]);
  });

  it('leave news for everybody as they are', () => {
    const { byNode: _, ...whole } = update;
    expect(all.get(live[0]?.name ?? v.parse(NodeName, 'none'))?.narrowed(whole, v.parse(NodeName, 'n1'))).toEqual(whole);
  });
});
