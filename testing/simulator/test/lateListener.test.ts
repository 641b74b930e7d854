import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Membership } from '@pewterlanding/membership';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Counters, quietLog } from '@pewterlanding/runtime';
import { Instance, SimClock, SimRun, SimTransport } from '../src/index.js';

describe('a program that begins to listen after its node was heard', () => {
  it('is told what came before, so that an added controller machine opens all its parts', async () => {
    const run = new SimRun({ seed: 9 });
    await run.begin(false);
    const { fleet } = run;
    const { machine, address } = fleet.addHost('front', 'late', '127.0.60.1');
    const instance = new Instance();
    const counters = new Counters();
    const clock = new SimClock(fleet.time, machine, instance);
    const transport = new SimTransport({ here: address, machine, instance, clock, counters, net: fleet.net });
    const nodeRecord = { name: v.parse(NodeName, 'late'), role: 'agent' as const, zone: v.parse(ZoneName, 'a'), address };
    const seeds = [v.parse(Address, '127.0.20.1:7000')];
    const membership = new Membership({
      nodeRecord,
      seeds,
      clock,
      transport,
      bounds: { heartbeatMs: 250, failureTimeoutMs: 1000, watchers: 3 },
      counters,
      log: quietLog,
    });
    await run.advance(1000);
    const heard: string[] = [];
    membership.onUpdate((update) => heard.push(update.key));
    expect(['setup', 'shards', 'duty/dispatch'].filter((key) => !heard.includes(key))).toEqual([]);
  });
});
