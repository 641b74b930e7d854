import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { InitialUpdate } from '@pewterlanding/proxy';
import { StateTable } from '@pewterlanding/membership';
import { Address, NodeName } from '@pewterlanding/model';
import { Counters } from '@pewterlanding/runtime';
import { Instance, SimClock, SimRun, SimTransport } from '../src/index.js';

const heartbeatMs = 250;
const seeds = [1, 2, 3].map((number) => v.parse(Address, `127.0.20.${number}:7000`));

interface Starting {
  readonly stateTable: StateTable;
  readonly counters: Counters;
  readonly initialUpdate: InitialUpdate;
  readonly run: SimRun;
}

/** A front machine added to a running fleet, whose agent has not come up. */
async function starting(name: string, down: readonly string[] = [], dark: readonly string[] = []): Promise<Starting> {
  const run = new SimRun({ seed: 12, joining: { copies: 3 } });
  await run.begin(false);
  for (const one of down) run.fleet.kill(one);
  for (const one of dark) run.fleet.host(one).machine.freeze();
  const { machine, address } = run.fleet.addHost('front', name, '127.0.60.1');
  const instance = new Instance();
  const counters = new Counters();
  const clock = new SimClock(run.fleet.time, machine, instance);
  const transport = new SimTransport({ here: address, machine, instance, clock, counters, net: run.fleet.net });
  const stateTable = new StateTable();
  const take = (updates: Parameters<StateTable['put']>[0][]): void => void updates.map((one) => stateTable.put(one));
  const initialUpdate = new InitialUpdate({
    front: v.parse(NodeName, name),
    transport,
    clock,
    counters,
    seeds,
    stateTable,
    heartbeatMs,
    apply: (updates) => take([...updates]),
  });
  return { stateTable, counters, initialUpdate, run };
}

describe('what a front asks at its start', () => {
  it('brings it the setup before its agent is up', async () => {
    const { stateTable, run } = await starting('late-1');
    await run.advance(heartbeatMs / 10);
    expect(stateTable.get('setup') === undefined).toEqual(false);
  });

  it('is asked of another controller where one does not listen, whichever it begins with', async () => {
    for (const name of ['late-1', 'late-2', 'late-3', 'late-4']) {
      const { stateTable, run } = await starting(name, ['core-1', 'core-2']);
      await run.advance(heartbeatMs / 2);
      expect(stateTable.get('setup') === undefined).toEqual(false);
    }
  });

  it('is asked of another controller where one says nothing, as without power', async () => {
    for (const name of ['late-1', 'late-2', 'late-3', 'late-4']) {
      const { stateTable, run } = await starting(name, [], ['core-1', 'core-2']);
      await run.advance(heartbeatMs / 2);
      expect(stateTable.get('setup') === undefined).toEqual(false);
    }
  });

  it('ends when the agent is heard, and by itself when none ever is', async () => {
    const heard = await starting('late-1');
    heard.initialUpdate.close();
    await heard.run.advance(heartbeatMs * 10);
    expect(heard.stateTable.get('setup')).toEqual(undefined);
    const alone = await starting('late-2');
    await alone.run.advance(heartbeatMs * 9);
    const asked = alone.counters.get('proxy.firstNews') + alone.counters.get('proxy.firstNewsFailed');
    await alone.run.advance(heartbeatMs * 20);
    expect(alone.counters.get('proxy.firstNews') + alone.counters.get('proxy.firstNewsFailed')).toEqual(asked);
  });
});
