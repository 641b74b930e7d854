import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { NodeName, ServiceName, Configuration } from '@pewterlanding/model';
import { Counters, SystemClock } from '@pewterlanding/runtime';
import { ReplicaSelector, RoutingState, defaultHeaderNames, InFlightCounts, selectionRequestOf } from '../src/index.js';

const service = v.parse(ServiceName, 's');
const never = new AbortController().signal;

function selectorOf(proxy: string, connected: ReadonlySet<string> = new Set()): ReplicaSelector {
  const clock = new SystemClock();
  const routingState = new RoutingState({ front: v.parse(NodeName, proxy), instance: proxy, clock });
  const configuration = v.parse(Configuration, {
    services: {
      s: { kind: 'streamed', idempotent: false, replicas: { maxSlots: 16 }, engine: { slots: 4, memoryTokens: 10_000 } },
    },
    quotas: {},
    joining: true,
  });
  routingState.apply([
    { key: 'setup', version: [1, 0], volatile: false, value: { version: 1, configuration } },
    ...Array.from({ length: 6 }, (_, at) => ({
      key: `replica/s/life-${at}`,
      version: [1, 0] satisfies [number, number],
      volatile: false,
      value: { service: 's', address: `127.0.0.1:${at + 1}`, slots: 4, incarnation: 1, instance: `life-${at}`, state: 'serving' },
    })),
  ]);
  const tables = () => routingState.tables;
  return new ReplicaSelector({
    clock,
    random: () => 0,
    zone: proxy,
    tables,
    inFlight: new InFlightCounts(),
    hasIdleConnection: (key) => connected.has(key),
    counters: new Counters(),
  });
}

function requestOf(parts: string) {
  return { ...selectionRequestOf(defaultHeaderNames, ['Tokens', '300,20', 'Prompt-Parts', parts], service, 5), without: new Set<string>() };
}

describe('the selection of a replica', () => {
  it('is the same at proxies without communication for requests that share a prompt prefix, and spreads the others', async () => {
    const [one, other] = [selectorOf('proxy-1'), selectorOf('proxy-2')];
    const homes = new Set<string>();
    for (let text = 0; text < 20; text += 1) {
      const first = await one.enter(requestOf(`${text}:200,a:100`), 0, never);
      const second = await other.enter(requestOf(`${text}:200,b:100`), 0, never);
      expect(first?.key).toEqual(second?.key);
      homes.add(first?.key ?? '');
      first?.leave('succeeded');
      second?.leave('succeeded');
    }
    expect(homes.size > 3).toEqual(true);
  });

  it('goes to the second replica in the rendezvous order when the home is overloaded, and no further', async () => {
    const selector = selectorOf('proxy-1');
    const selected = await Promise.all(Array.from({ length: 5 }, () => selector.enter(requestOf('5c1e:200,a:100'), 0, never)));
    const keys = selected.map((selected) => selected?.key);
    expect(new Set(keys).size).toEqual(2);
    expect(keys[0]).toEqual(keys[1]);
  });

  it('ejects a replica that failed, and spreads requests by the memory they need', async () => {
    const selector = selectorOf('proxy-1');
    const failed = await selector.enter(requestOf(''), 0, never);
    failed?.leave('failed');
    const selected = await Promise.all(Array.from({ length: 10 }, () => selector.enter(requestOf(''), 0, never)));
    expect(selected.some((selected) => selected?.key === failed?.key)).toEqual(false);
    const big = { ...requestOf(''), promptTokens: 8_000, outputTokens: 900 };
    const full = selectorOf('proxy-2');
    const taken = await Promise.all(Array.from({ length: 7 }, () => full.enter(big, 0, never)));
    expect(new Set(taken.slice(0, 6).map((selected) => selected?.key)).size).toEqual(6);
    // No memory is left; with no time to wait, a live request is offered to a replica all the same.
    expect(taken[6]).not.toEqual(undefined);
  });

  it('leaves the live reserve free of batch items', async () => {
    const selector = selectorOf('proxy-1');
    const selected = await Promise.all(Array.from({ length: 30 }, () => selector.enter({ ...requestOf(''), kind: 'batch' }, 0, never)));
    expect(selected.filter((selected) => selected !== undefined).length).toEqual(18);
  });

  it('counts batch items and live requests together, and gives a released slot to the item with the earliest deadline', async () => {
    const selector = selectorOf('proxy-1');
    const live = await Promise.all(Array.from({ length: 18 }, () => selector.enter(requestOf(''), 0, never)));
    // Live requests may have filled some replicas and left others free.
    const batches = await Promise.all(Array.from({ length: 30 }, () => selector.enter({ ...requestOf(''), kind: 'batch' }, 0, never)));
    const countAt = (selected: typeof live, key: string) => selected.filter((selected) => selected?.key === key).length;
    for (const key of Array.from({ length: 6 }, (_, position) => `life-${position}`))
      expect(countAt(batches, key)).toEqual(Math.max(0, 3 - countAt(live, key)));
    const served: number[] = [];
    const waiting = [30, 10, 20].map((dueAtMs) =>
      selector
        .enter({ ...requestOf(''), kind: 'batch', dueAtMs }, 5000, never)
        .then((selected) => selected !== undefined && served.push(dueAtMs)),
    );
    for (const selected of live) selected?.leave('succeeded');
    await Promise.all(waiting);
    expect(served).toEqual([10, 20, 30]);
  });

  it('prefers a replica with an idle connection, until it is more loaded than others by far', async () => {
    const selector = selectorOf('proxy-1', new Set(['life-4']));
    const keys: string[] = [];
    for (let count = 0; count < 5; count += 1) keys.push((await selector.enter(requestOf(''), 0, never))?.key ?? '');
    expect(keys.slice(0, 2)).toEqual(['life-4', 'life-4']);
    expect(keys.filter((key) => key === 'life-4').length < 5).toEqual(true);
  });
});
