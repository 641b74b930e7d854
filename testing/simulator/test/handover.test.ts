import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { controllerCalls } from '@pewterlanding/controller';
import type { Address } from '@pewterlanding/model';
import { Counters, defineCall } from '@pewterlanding/runtime';
import { Instance, SimClock, simScenario, SimRun, SimTransport } from '../src/index.js';

describe('a duty that is handed over', () => {
  it('costs no task under a polite restart of controller and stores, one machine after another', async () => {
    for (const seed of [1, 2]) {
      const { history, violations } = await simScenario('rollMachines', seed);
      expect(violations).toEqual([]);
      // All that is refused is what no setup ever allowed.
      const refused = history.filter((one) => one.type === 'told' && one.outcome === 'refused' && one.status !== 404);
      expect(refused).toEqual([]);
      expect(history.some((one) => one.type === 'told' && one.outcome === 'returned')).toEqual(true);
    }
  });

  it('is refused and counted from a wrong epoch, sent twice, or unreadable', async () => {
    const run = new SimRun({ seed: 7 });
    await run.begin();
    const { fleet } = run;
    const holder = run.dispatcher();
    const others = fleet.named('controller').filter((host) => host.machine.name !== holder);
    const [other] = others;
    if (other === undefined) throw new Error('no other controller machine');
    const from = fleet.addHost('front', 'stranger', '127.0.60.1');
    const instance = new Instance();
    const clock = new SimClock(fleet.time, from.machine, instance);
    const transport = new SimTransport({
      here: from.address,
      machine: from.machine,
      instance,
      clock,
      counters: new Counters(),
      net: fleet.net,
    });
    const term = fleet.host(holder).process?.controller?.singletonRole()?.term ?? 0;
    const balances = { purses: [], open: [], fronts: [] };
    const hand = (to: Address, ended: number): Promise<boolean> =>
      run.advanceUntilSettled(
        transport.ask(to, controllerCalls.handRole, { role: 'dispatch', term: ended, balances }, 2000).then(({ taken }) => taken),
        3000,
      );
    const refused = (name: string): number => fleet.host(name).process?.counters.get('controller.handoverRefused') ?? 0;
    // Its holder takes nothing from others; another node nothing of an epoch that is over, and nothing twice.
    expect([await hand(fleet.host(holder).address, term), refused(holder)]).toEqual([false, 1]);
    expect([await hand(other.address, term - 1), refused(other.machine.name)]).toEqual([false, 1]);
    expect([await hand(other.address, term), refused(other.machine.name)]).toEqual([false, 1]);
    expect([await hand(other.address, term), refused(other.machine.name)]).toEqual([false, 2]);
    const loose = defineCall('controller.handRole', v.unknown(), v.unknown());
    const unreadable = transport.ask(other.address, loose, { role: 'dispatch', term: 'x' }, 2000).then(
      () => 'taken',
      () => 'refused',
    );
    expect(await run.advanceUntilSettled(unreadable, 3000)).toEqual('refused');
    expect(other.process?.counters.get('wire.unreadable')).toEqual(1);
    // The holder is still the holder.
    expect(run.dispatcher()).toEqual(holder);
  });
});
