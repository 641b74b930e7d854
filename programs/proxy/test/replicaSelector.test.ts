import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { NodeName, ServiceName, Configuration } from '@pewterlanding/model';
import { Counters, SystemClock } from '@pewterlanding/runtime';
import { ReplicaSelector, RoutingState, defaultHeaderNames, InFlightCounts, selectionRequestOf } from '../src/index.js';

const service = v.parse(ServiceName, 's');
const never = new AbortController().signal;

function choiceOf(front: string): ReplicaSelector {
  const clock = new SystemClock();
  const routingState = new RoutingState({ front: v.parse(NodeName, front), instance: front, clock });
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
  return new ReplicaSelector({
    clock,
    random: () => 0,
    zone: front,
    tables: () => routingState.tables,
    inFlight: new InFlightCounts(),
    counters: new Counters(),
  });
}

function desired(parts: string) {
  return { ...selectionRequestOf(defaultHeaderNames, ['Tokens', '300,20', 'Prompt-Parts', parts], service, 5), without: new Set<string>() };
}

describe('the choice of a replica', () => {
  it('is the same at fronts that do not talk, for tasks that share their prompt, and spreads those that do not', async () => {
    const [one, other] = [choiceOf('front-1'), choiceOf('front-2')];
    const places = new Set<string>();
    for (let text = 0; text < 20; text += 1) {
      const first = await one.enter(desired(`${text}:200,a:100`), 0, never);
      const second = await other.enter(desired(`${text}:200,b:100`), 0, never);
      expect(first?.key).toEqual(second?.key);
      places.add(first?.key ?? '');
      first?.leave('well');
      second?.leave('well');
    }
    expect(places.size > 3).toEqual(true);
  });

  it('spills from the place of a shared part when that is full, and no further than to the next', async () => {
    const selector = choiceOf('front-1');
    const selected = await Promise.all(Array.from({ length: 5 }, () => selector.enter(desired('5c1e:200,a:100'), 0, never)));
    const keys = selected.map((selected) => selected?.key);
    expect(new Set(keys).size).toEqual(2);
    expect(keys[0]).toEqual(keys[1]);
  });

  it('leaves a replica that failed alone, and spreads tasks by the memory they take', async () => {
    const selector = choiceOf('front-1');
    const hurt = await selector.enter(desired(''), 0, never);
    hurt?.leave('hurt');
    const selected = await Promise.all(Array.from({ length: 10 }, () => selector.enter(desired(''), 0, never)));
    expect(selected.some((selected) => selected?.key === hurt?.key)).toEqual(false);
    const big = { ...desired(''), promptTokens: 8_000, outputTokens: 900 };
    const full = choiceOf('front-2');
    const taken = await Promise.all(Array.from({ length: 7 }, () => full.enter(big, 0, never)));
    expect(new Set(taken.slice(0, 6).map((selected) => selected?.key)).size).toEqual(6);
    // No memory is left; with no time to wait, a replica is asked all the same.
    expect(taken[6]).not.toEqual(undefined);
  });

  it('gives lots no place that live tasks may want', async () => {
    const selector = choiceOf('front-1');
    const selected = await Promise.all(Array.from({ length: 30 }, () => selector.enter({ ...desired(''), kind: 'batch' }, 0, never)));
    expect(selected.filter((selected) => selected !== undefined).length).toEqual(18);
  });

  it('keeps lots and live tasks in one book, and gives a freed place to the item that is due first', async () => {
    const selector = choiceOf('front-1');
    const live = await Promise.all(Array.from({ length: 18 }, () => selector.enter(desired(''), 0, never)));
    // Live tasks may have crowded some replicas and left others room.
    const batches = await Promise.all(Array.from({ length: 30 }, () => selector.enter({ ...desired(''), kind: 'batch' }, 0, never)));
    const at = (selected: typeof live, key: string) => selected.filter((selected) => selected?.key === key).length;
    for (const key of Array.from({ length: 6 }, (_, position) => `life-${position}`))
      expect(at(batches, key)).toEqual(Math.max(0, 3 - at(live, key)));
    const came: number[] = [];
    const waiting = [30, 10, 20].map((dueAtMs) =>
      selector
        .enter({ ...desired(''), kind: 'batch', dueAtMs }, 5000, never)
        .then((selected) => selected !== undefined && came.push(dueAtMs)),
    );
    for (const selected of live) selected?.leave('well');
    await Promise.all(waiting);
    expect(came).toEqual([10, 20, 30]);
  });
});
