import { operatorFaults } from '../faults/index.js';
import type { Scenario } from './scenario.js';

/** Configurations that must stay in force, and those that must not return. */
export const configurationScenarios: Readonly<Record<string, Scenario>> = {
  /** A front that callers still reach is cut off while a service and a branch are pruned. */
  pruneUnheard: {
    options: { tasks: 240 },
    act: async (run) => {
      const front = run.pick(run.machines('front'));
      run.fault(`${front} is cut off`);
      run.disruption.cutFrom(front);
      await run.pass(200);
      operatorFaults['prune']?.act(run.disruption);
      await run.pass(11_000);
      run.fleet.net.heal();
      await run.pass(6000);
    },
  },
  /** Fronts stand still with tasks before them while a service and a branch are pruned, and wake after it is in force. */
  pruneWhileFrozen: {
    options: { tasks: 240 },
    act: async (run) => {
      const { machine } = run.fleet.host(run.pick(run.machines('front')));
      run.fault(`${machine.name} stands still`);
      machine.freeze();
      const pruned = run.operate({ part: { services: { memo: null }, quotas: { guest: null } } });
      await run.pass(9000);
      machine.wake();
      await run.until(pruned, 20_000);
      await run.pass(5000);
    },
  },
  /** A task waits out a dark replica while its service is pruned. */
  pruneWhileTried: {
    options: { tasks: 240 },
    act: async (run) => {
      run.fault('two models go dark');
      const dark = run.disruption.replicasOf('memo').slice(0, 2);
      for (const replica of dark) replica.machine.freeze();
      await run.pass(300);
      const pruned = run.operate({ part: { services: { memo: null }, quotas: { guest: null } } });
      await run.pass(9000);
      for (const replica of dark) replica.machine.wake();
      await run.until(pruned, 20_000);
      await run.pass(3000);
    },
  },
  /** The controller loses its power right after each confirmation. */
  powerAfterConfirm: {
    act: async (run) => {
      // On slow disks, what was acknowledged without a sync is still on its way.
      for (const name of run.machines('controller')) run.fleet.host(name).disk.syncMs = 600;
      for (let round = 0; round < 4; round += 1) {
        await run.until(run.operate({ part: { bounds: { requeueAttempts: 410 + round } } }), 20_000);
        run.fault('the controller loses its power');
        for (const name of run.machines('controller')) {
          run.fleet.kill(name);
          run.restart(name, 500);
        }
        await run.pass(5000);
        await run.until(run.readConfiguration(), 20_000);
      }
    },
  },
  /** Two operators plan on the same version and confirm at once. */
  racingOperators: {
    act: async (run) => {
      for (let round = 0; round < 4; round += 1) {
        run.fault('operators race');
        operatorFaults['operatorsRace']?.act(run.disruption);
        await run.pass(3000);
        await run.until(run.readConfiguration(), 20_000);
      }
    },
  },
};
