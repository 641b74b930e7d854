import { HarnessError } from '../errors/index.js';
import type { FleetFault } from './fleetFault.js';
import { targets } from './targets.js';
import type { FaultContext } from './faultContext.js';
import { sleep } from './sleep.js';
import { pollUntil } from './pollUntil.js';

async function change({ operator }: FaultContext, part: Record<string, unknown>): Promise<number> {
  for (let attempts = 0; attempts < 10; attempts += 1) {
    const version = await operator.change(part).catch(() => undefined);
    if (version !== undefined) return version;
    await sleep(1000);
  }
  throw new HarnessError(`not confirmed: ${JSON.stringify(part).slice(0, 200)}`);
}

/** Starts an empty machine of a kind under a new name and address, and lets the configuration know it. */
async function add(context: FaultContext, kind: 'controller' | 'store', instead: string | undefined): Promise<string> {
  const place = await context.fleet.addMachine(kind);
  const rows = { ...(instead === undefined ? {} : { [instead]: null }), [place.name]: { address: place.address, zone: place.zone } };
  await change(context, kind === 'controller' ? { controllers: rows } : { stores: rows });
  return place.name;
}

async function replace(context: FaultContext, kind: 'controller' | 'store'): Promise<void> {
  const { fleet, random, noteEffect: took } = context;
  const gone = targets.pickRandom(targets.names(fleet, kind), random);
  const [daemon] = targets.daemons(fleet, gone);
  daemon?.signal('SIGKILL');
  await daemon?.over();
  fleet.forget(gone);
  await fleet.loseDisk(gone);
  const name = await add(context, kind, gone);
  await pollUntil('the new machine counts everywhere', () => targets.settled(fleet), 30_000);
  took(`${gone} by ${name}`, 'every part is served and no seat lags or only follows');
}

/** What operators do, alone and against each other, some of it while something else fails. */
export const operatorFaults: Readonly<Record<string, FleetFault>> = {
  replaceController: (context) => replace(context, 'controller'),
  replaceStore: (context) => replace(context, 'store'),

  /** A store is added, another emptied, and a third killed while copies move. */
  emptyStore: async (context) => {
    const { fleet, random, noteEffect: took } = context;
    const stores = targets.names(fleet, 'store');
    const emptied = targets.pickRandom(stores, random);
    const added = await add(context, 'store', undefined);
    await change(context, { emptying: [emptied] });
    const killed = targets.pickRandom(
      stores.filter((name) => name !== emptied),
      random,
    );
    const [daemon] = targets.daemons(fleet, killed);
    daemon?.signal('SIGKILL');
    await daemon?.over();
    await sleep(3000);
    daemon?.start();
    await pollUntil(`${emptied} is empty`, async () => (await targets.settled(fleet)) && !(await fleet.sits(emptied)), 60_000);
    took(emptied, `${added} was added, ${killed} killed meanwhile; no part sits there any more`);
    await change(context, { stores: { [emptied]: null }, emptying: [] });
    const [old] = targets.daemons(fleet, emptied);
    await old?.stop();
    fleet.forget(emptied);
  },

  /** Two operators at once, three times. */
  operators: async ({ operator, noteEffect: took }) => {
    let won = 0;
    for (let round = 0; round < 3; round += 1) {
      const versions = await Promise.all(
        [0, 1].map((side) => operator.change({ bounds: { requeueAttempts: 300 + round * 2 + side } }).catch(() => undefined)),
      );
      won += versions.filter((version) => version !== undefined).length;
    }
    if (won > 0) took('the setup', `${won} of 6 racing changes were confirmed`);
  },

  /** A service and a branch that callers use are pruned for a while. */
  prune: async (context) => {
    const { operator, traffic, noteEffect: took } = context;
    const service = traffic.find((one) => one.batchItems === undefined && one.perSecond < 20)?.service ?? '';
    const quota = traffic[0]?.quotas.at(-1) ?? '';
    const { services, branches: quotas } = await operator.configuration();
    const version = await change(context, { services: { [service]: null }, quotas: { [quota]: null } });
    await sleep(6000);
    took(`${service}, ${quota}`, `pruned under version ${version}`);
    await change(context, { services: { [service]: rowOf(services, service) }, quotas: { [quota]: rowOf(quotas, quota) } });
    await sleep(2000);
  },

  /** Changes in quick succession while the configuration's leader is killed. */
  configurationBurst: async (context) => {
    const { fleet, noteEffect: took } = context;
    const owner = await targets.shardLeader(fleet, 'setup');
    let confirmed = 0;
    for (let number = 0; number < 8; number += 1) {
      if (number === 3) targets.daemons(fleet, owner)[0]?.signal('SIGKILL');
      confirmed +=
        (await context.operator.change({ bounds: { requeueAttempts: 400 + number } }).catch(() => undefined)) === undefined ? 0 : 1;
    }
    targets.daemons(fleet, owner)[0]?.start();
    if (confirmed > 0) took(`the setup, and ${owner} killed`, `${confirmed} of 8 changes were confirmed`);
  },

  /** Thousands of quotas and services, confirmed and pruned again, with a front killed meanwhile. */
  largeConfiguration: async (context) => {
    const { fleet, operator, random, noteEffect: took } = context;
    const { services } = await operator.configuration();
    const like = rowOf(services, context.traffic[0]?.service ?? '');
    const many = <T>(row: (number: number) => T): Record<string, T> =>
      Object.fromEntries(Array.from({ length: 1500 }, (_, number) => [`extra-${number}`, row(number)]));
    const parent = context.traffic[0]?.quotas[0] ?? '';
    const startMs = Date.now();
    const confirming = change(context, { services: many(() => like), quotas: many(() => ({ parent, share: 0.0001 })) });
    const name = targets.pickRandom(targets.names(fleet, 'front'), random);
    const daemons = targets.daemons(fleet, name);
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    await sleep(1500);
    for (const daemon of daemons) daemon.start();
    const version = await confirming;
    took(`the setup, and ${name} killed`, `3,000 rows in force under version ${version} after ${Date.now() - startMs} ms`);
    await fleet.ready(20_000);
    const smallMs = Date.now();
    await change(context, { bounds: { requeueAttempts: 450 } });
    took('the large setup', `one bound changed in ${Date.now() - smallMs} ms`);
    await change(context, { services: many(() => null), quotas: many(() => null) });
  },
};

function rowOf(rows: unknown, name: string): unknown {
  const found = typeof rows === 'object' && rows !== null ? Object.entries(rows).find(([key]) => key === name) : undefined;
  if (found === undefined) throw new HarnessError(`no row ${name}`);
  return found[1];
}
