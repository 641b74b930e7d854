import type { FleetFault } from './fleetFault.js';
import { targets } from './targets.js';
import { sleep } from './sleep.js';

/** Replicas that crash, go dark, are replaced, or come back under a used address. */
export const replicaFaults: Readonly<Record<string, FleetFault>> = {
  replicaCrash: async ({ fleet, random, note, noteEffect: took }) => {
    const replica = targets.pickRandom(fleet.replicas, random);
    replica.vanish();
    took(replica.address, 'its server closed and all circuits broke off');
    await sleep(6000);
    note({ type: 'replicaEnds', atMs: Date.now(), replica: replica.address });
    await sleep(2000);
    note({ type: 'replicaBegins', atMs: Date.now(), replica: replica.address });
    await replica.start();
  },
  /** It takes tasks and never returns, and says nothing any more; then it is itself again. */
  replicaDark: async ({ fleet, random, noteEffect: took }) => {
    const replica = targets.pickRandom(fleet.replicas, random);
    replica.fault = 'silent';
    replica.hush(true);
    const before = replica.taken;
    await sleep(8000);
    took(replica.address, `announced nothing for 8 s, got ${replica.taken - before} tasks meanwhile`);
    replica.fault = 'none';
    replica.hush(false);
  },
  replicasRoll: async ({ fleet, note, noteEffect: took }) => {
    for (const replica of fleet.replicas.slice(0, 4)) {
      if (await replica.leave()) note({ type: 'replicaEnds', atMs: Date.now(), replica: replica.address });
      took(replica.address, 'its leaving was taken');
      await sleep(3000);
      replica.vanish();
      note({ type: 'replicaBegins', atMs: Date.now(), replica: replica.address });
      await replica.start();
    }
  },
};
