import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { updateKeys } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import { NodeName, Configuration } from '@pewterlanding/model';
import { RoutingState } from '../src/index.js';

const update = (key: string, value: unknown, at = 1): Update => ({ key, version: [at, 0], volatile: false, value });
const nodeRecord = (state: string) => ({ name: 'front-2', role: 'agent', zone: 'a', address: '127.0.0.2:7000', state });
const configuration = v.parse(Configuration, {
  services: { s: { kind: 'whole', idempotent: true, replicas: { maxSlots: 9 } } },
  quotas: {},
  joining: true,
});
const replica = { service: 's', address: '127.0.0.9:80', slots: 4, incarnation: 1, instance: 'one', state: 'serving' };

describe('the load of a proxy that is gone', () => {
  it('is not counted any more, nor is the proxy among those that share connections', () => {
    const clock = { nowMs: () => 0, wallMs: () => 0, after: () => () => undefined };
    const routingState = new RoutingState({ front: v.parse(NodeName, 'front-1'), instance: 'one', clock });
    routingState.apply([
      update(updateKeys.configuration, { version: 1, configuration }),
      update(updateKeys.replica('s', 'one'), replica),
      update(updateKeys.use('front-1'), {}),
      update(updateKeys.node('front-2'), nodeRecord('here')),
      update(updateKeys.use('front-2'), { '127.0.0.9:80': 3 }),
    ]);
    const seen = () => [routingState.tables.fronts, routingState.tables.replicas.get('s')?.[0]?.others];
    expect(seen()).toEqual([2, 3]);
    routingState.apply([update(updateKeys.node('front-2'), nodeRecord('gone'), 2)]);
    expect(seen()).toEqual([1, 0]);
  });
});
