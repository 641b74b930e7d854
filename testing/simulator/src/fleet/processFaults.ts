import { access } from 'node:fs/promises';
import type { Act } from './act.js';
import { aim } from './aim.js';
import type { Ground } from './ground.js';
import { pass } from './pass.js';
import { until } from './until.js';

async function kill({ fleet, took }: Ground, name: string, backMs: number): Promise<void> {
  const daemons = aim.daemons(fleet, name);
  for (const daemon of daemons) daemon.signal('SIGKILL');
  const codes = await Promise.all(daemons.map((daemon) => daemon.over()));
  took(name, `${codes.length} processes ended by SIGKILL`);
  await pass(backMs);
  for (const daemon of daemons) daemon.start();
}

async function freeze({ fleet, took }: Ground, name: string, forMs: number): Promise<void> {
  const daemons = aim.daemons(fleet, name);
  for (const daemon of daemons) daemon.signal('SIGSTOP');
  await until('it stands still', async () => daemons.every((daemon) => daemon.stopped), 2000);
  took(name, `the system has it standing still for ${forMs} ms`);
  await pass(forMs);
  for (const daemon of daemons) daemon.signal('SIGCONT');
}

/** Kills, freezes, lost disks and polite restarts of the fleet's own processes. */
export const processFaults: Readonly<Record<string, Act>> = {
  killFront: (ground) => kill(ground, aim.pick(aim.names(ground.fleet, 'front'), ground.random), 1500),
  killController: (ground) => kill(ground, aim.pick(aim.names(ground.fleet, 'controller'), ground.random), 3000),
  killStore: (ground) => kill(ground, aim.pick(aim.names(ground.fleet, 'store'), ground.random), 3000),
  killDispatcher: async (ground) => kill(ground, await aim.holder(ground.fleet), 5000),
  killConfigurationLeader: async (ground) => kill(ground, await aim.owner(ground.fleet, 'setup'), 5000),
  killBatchLeader: async (ground) => kill(ground, await aim.owner(ground.fleet, 'lots-0'), 5000),
  freezeFront: (ground) => freeze(ground, aim.pick(aim.names(ground.fleet, 'front'), ground.random), 6000),
  freezeDispatcher: async (ground) => freeze(ground, await aim.holder(ground.fleet), 6000),
  freezeConfigurationLeader: async (ground) => freeze(ground, await aim.owner(ground.fleet, 'setup'), 6000),
  freezeStore: (ground) => freeze(ground, aim.pick(aim.names(ground.fleet, 'store'), ground.random), 6000),
  freezeBatchLeader: async (ground) => freeze(ground, await aim.owner(ground.fleet, 'lots-1'), 6000),

  /** The disk is lost, and an empty machine comes back under the old name and address. */
  loseDisk: async ({ fleet, random, took }) => {
    const name = aim.pick([...aim.names(fleet, 'store'), ...aim.names(fleet, 'controller')], random);
    const daemons = aim.daemons(fleet, name);
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    const before = await access(fleet.dataFolder(name)).then(
      () => 'its files were there and are gone',
      () => undefined,
    );
    await fleet.loseDisk(name);
    if (before !== undefined) took(name, before);
    await pass(1500);
    for (const daemon of daemons) daemon.start();
    await until('no seat lags', () => aim.settled(fleet), 20_000);
  },

  slowDisk: async ({ fleet, random, took }) => {
    const name = aim.pick([...aim.names(fleet, 'store'), ...aim.names(fleet, 'controller')], random);
    await fleet.slowDisk(name, 800);
    await pass(8000);
    await fleet.slowDisk(name, 0);
    took(name, 'every sync took 800 ms longer for 8 s');
  },

  /** Every machine is restarted politely, one after another, by the operators' page. */
  rollFleet: async ({ fleet, took }) => {
    for (const name of (['controller', 'store', 'front'] as const).flatMap((kind) => aim.names(fleet, kind))) {
      const daemons = aim.daemons(fleet, name);
      const codes = await Promise.all(daemons.map((daemon) => daemon.stop()));
      took(name, `ended with ${codes.join(', ')}`);
      for (const daemon of daemons) daemon.start();
      await fleet.ready(20_000);
      await until('no seat lags', () => aim.settled(fleet), 20_000);
      await pass(1500);
    }
  },

  /** Every process of the fleet at once. */
  powerCut: async ({ fleet, took }) => {
    const daemons = [...fleet.daemons.values()];
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    took('everything', `${daemons.length} processes ended by SIGKILL`);
    await pass(1000);
    for (const daemon of daemons) daemon.start();
  },
};
