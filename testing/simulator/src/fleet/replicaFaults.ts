import type { Act } from './act.js';
import { aim } from './aim.js';
import { pass } from './pass.js';

/** Replicas that crash, go dark, are replaced, or come back under a used address. */
export const replicaFaults: Readonly<Record<string, Act>> = {
  replicaCrash: async ({ fleet, random, note, took }) => {
    const replica = aim.pick(fleet.replicas, random);
    replica.vanish();
    took(replica.address, 'its server closed and all circuits broke off');
    await pass(6000);
    note({ type: 'replicaEnds', atMs: Date.now(), replica: replica.address });
    await pass(2000);
    note({ type: 'replicaBegins', atMs: Date.now(), replica: replica.address });
    await replica.start();
  },
  /** It takes tasks and never returns, and says nothing any more; then it is itself again. */
  replicaDark: async ({ fleet, random, took }) => {
    const replica = aim.pick(fleet.replicas, random);
    replica.fault = 'silent';
    replica.hush(true);
    const before = replica.taken;
    await pass(8000);
    took(replica.address, `announced nothing for 8 s, got ${replica.taken - before} tasks meanwhile`);
    replica.fault = 'none';
    replica.hush(false);
  },
  replicasRoll: async ({ fleet, note, took }) => {
    for (const replica of fleet.replicas.slice(0, 4)) {
      if (await replica.leave()) note({ type: 'replicaEnds', atMs: Date.now(), replica: replica.address });
      took(replica.address, 'its leaving was taken');
      await pass(3000);
      replica.vanish();
      note({ type: 'replicaBegins', atMs: Date.now(), replica: replica.address });
      await replica.start();
    }
  },
};
