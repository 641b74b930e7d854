import { access } from 'node:fs/promises';
import type { FleetFault } from './fleetFault.js';
import { targets } from './targets.js';
import type { FaultContext } from './faultContext.js';
import { sleep } from './sleep.js';
import { pollUntil } from './pollUntil.js';

async function kill({ fleet, noteEffect: took }: FaultContext, name: string, backMs: number): Promise<void> {
  const daemons = targets.daemons(fleet, name);
  for (const daemon of daemons) daemon.signal('SIGKILL');
  const codes = await Promise.all(daemons.map((daemon) => daemon.over()));
  took(name, `${codes.length} processes ended by SIGKILL`);
  await sleep(backMs);
  for (const daemon of daemons) daemon.start();
}

async function freeze({ fleet, noteEffect: took }: FaultContext, name: string, forMs: number): Promise<void> {
  const daemons = targets.daemons(fleet, name);
  for (const daemon of daemons) daemon.signal('SIGSTOP');
  await pollUntil('it stands still', async () => daemons.every((daemon) => daemon.stopped), 2000);
  took(name, `the system has it standing still for ${forMs} ms`);
  await sleep(forMs);
  for (const daemon of daemons) daemon.signal('SIGCONT');
}

/** Kills, freezes, lost disks and polite restarts of the fleet's own processes. */
export const processFaults: Readonly<Record<string, FleetFault>> = {
  killFront: (context) => kill(context, targets.pickRandom(targets.names(context.fleet, 'front'), context.random), 1500),
  killController: (context) => kill(context, targets.pickRandom(targets.names(context.fleet, 'controller'), context.random), 3000),
  killStore: (context) => kill(context, targets.pickRandom(targets.names(context.fleet, 'store'), context.random), 3000),
  killDispatcher: async (context) => kill(context, await targets.dispatcher(context.fleet), 5000),
  killConfigurationLeader: async (context) => kill(context, await targets.shardLeader(context.fleet, 'setup'), 5000),
  killBatchLeader: async (context) => kill(context, await targets.shardLeader(context.fleet, 'lots-0'), 5000),
  freezeFront: (context) => freeze(context, targets.pickRandom(targets.names(context.fleet, 'front'), context.random), 6000),
  freezeDispatcher: async (context) => freeze(context, await targets.dispatcher(context.fleet), 6000),
  freezeConfigurationLeader: async (context) => freeze(context, await targets.shardLeader(context.fleet, 'setup'), 6000),
  freezeStore: (context) => freeze(context, targets.pickRandom(targets.names(context.fleet, 'store'), context.random), 6000),
  freezeBatchLeader: async (context) => freeze(context, await targets.shardLeader(context.fleet, 'lots-1'), 6000),

  /** The disk is lost, and an empty machine comes back under the old name and address. */
  loseDisk: async ({ fleet, random, noteEffect: took }) => {
    const name = targets.pickRandom([...targets.names(fleet, 'store'), ...targets.names(fleet, 'controller')], random);
    const daemons = targets.daemons(fleet, name);
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    const before = await access(fleet.dataFolder(name)).then(
      () => 'its files were there and are gone',
      () => undefined,
    );
    await fleet.loseDisk(name);
    if (before !== undefined) took(name, before);
    await sleep(1500);
    for (const daemon of daemons) daemon.start();
    await pollUntil('no seat lags', () => targets.settled(fleet), 20_000);
  },

  slowDisk: async ({ fleet, random, noteEffect: took }) => {
    const name = targets.pickRandom([...targets.names(fleet, 'store'), ...targets.names(fleet, 'controller')], random);
    await fleet.slowDisk(name, 800);
    await sleep(8000);
    await fleet.slowDisk(name, 0);
    took(name, 'every sync took 800 ms longer for 8 s');
  },

  /** Every machine is restarted gracefully, one after another, by the operators' page. */
  rollFleet: async ({ fleet, noteEffect: took }) => {
    for (const name of (['controller', 'store', 'front'] as const).flatMap((kind) => targets.names(fleet, kind))) {
      const daemons = targets.daemons(fleet, name);
      const codes = await Promise.all(daemons.map((daemon) => daemon.stop()));
      took(name, `ended with ${codes.join(', ')}`);
      for (const daemon of daemons) daemon.start();
      await fleet.ready(20_000);
      await pollUntil('no seat lags', () => targets.settled(fleet), 20_000);
      await sleep(1500);
    }
  },

  /** Every process of the fleet at once. */
  powerCut: async ({ fleet, noteEffect: took }) => {
    const daemons = [...fleet.daemons.values()];
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    took('everything', `${daemons.length} processes ended by SIGKILL`);
    await sleep(1000);
    for (const daemon of daemons) daemon.start();
  },
};
