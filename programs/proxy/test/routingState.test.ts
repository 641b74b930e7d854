import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { NodeName, Configuration } from '@pewterlanding/model';
import { SystemClock } from '@pewterlanding/runtime';
import type { Update } from '@pewterlanding/membership';
import { RoutingState } from '../src/index.js';

const address = '127.0.0.1:9000';
const configuration = v.parse(Configuration, {
  services: { s: { kind: 'whole', idempotent: false, replicas: { maxSlots: 16 } } },
  quotas: {},
  joining: true,
});
const replica = { service: 's', address, slots: 4, incarnation: 1, instance: 'life-1', state: 'serving' };
const update = (key: string, turn: number, value: unknown): Update => ({
  key,
  version: [1, turn],
  volatile: key.startsWith('use/'),
  value,
});
const nodeRecord = (name: string, state: string) => ({ name, role: 'agent', zone: 'z', address: '127.0.0.2:7000', state });

describe('the load of other proxies in the routing state', () => {
  it('is what each reported last, and nothing for those that are gone', () => {
    const routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'l', clock: new SystemClock() });
    const known = () => [routingState.tables.replicas.get('s')?.[0]?.others, routingState.tables.fronts];
    routingState.apply([update('setup', 0, { version: 1, configuration }), update('replica/s/life-1', 0, replica)]);
    expect(known()).toEqual([0, 1]);
    routingState.apply([
      update('use/front-1', 1, { [address]: 9 }),
      update('use/front-2', 1, { [address]: 2 }),
      update('use/front-3', 1, { [address]: 3 }),
    ]);
    expect(known()).toEqual([5, 3]);
    routingState.apply([update('use/front-2', 2, { [address]: 1 })]);
    expect(known()).toEqual([4, 3]);
    routingState.apply([update('node/front-3', 1, nodeRecord('front-3', 'gone'))]);
    expect(known()).toEqual([1, 2]);
    routingState.apply([update('node/front-3', 2, nodeRecord('front-3', 'here'))]);
    expect(known()).toEqual([4, 3]);
    routingState.apply([update('use/front-2', 3, {}), update('use/front-3', 2, {})]);
    expect(known()).toEqual([0, 3]);
  });

  it('changes nothing else, and is the same as when the tables are derived anew', () => {
    const routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'l', clock: new SystemClock() });
    const other = { ...replica, address: '127.0.0.1:9001', instance: 'life-2' };
    routingState.apply([
      update('setup', 0, { version: 1, configuration }),
      update('replica/s/life-1', 0, replica),
      update('replica/s/life-2', 0, other),
    ]);
    const { tables: before, replicaKeys } = routingState;
    routingState.apply([update('use/front-2', 1, { [address]: 2 }), update('use/front-3', 1, { '127.0.0.1:1': 7 })]);
    const after = routingState.tables;
    expect([...replicaKeys].sort()).toEqual(['life-1', 'life-2']);
    expect(routingState.replicaKeys === replicaKeys).toEqual(true);
    expect(after.replicas.get('s')?.map(({ others }) => others)).toEqual([2, 0]);
    expect(after.replicas.get('s')?.[1] === before.replicas.get('s')?.[1]).toEqual(true);
    expect({ ...after, replicas: before.replicas, fronts: before.fronts }).toEqual(before);
    routingState.rebuild();
    expect(routingState.tables.replicas).toEqual(after.replicas);
    expect(routingState.tables.fronts).toEqual(after.fronts);
  });

  it('reaches replicas that appear after it was reported', () => {
    const routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'l', clock: new SystemClock() });
    routingState.apply([update('setup', 0, { version: 1, configuration }), update('use/front-2', 1, { [address]: 2 })]);
    routingState.apply([update('replica/s/life-1', 0, replica)]);
    expect(routingState.tables.replicas.get('s')?.map(({ others }) => others)).toEqual([2]);
    expect([...routingState.replicaKeys]).toEqual(['life-1']);
  });
});
