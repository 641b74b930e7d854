import { operatorFaults } from '../faults/index.js';
import type { Scenario } from './scenario.js';

/** Configurations that must stay in force, and those that must not return. */
export const configurationScenarios: Readonly<Record<string, Scenario>> = {
  /** A front that callers still reach is cut off while a service and a branch are pruned. */
  pruneUnheard: {
    options: { tasks: 240 },
    run: async (run) => {
      const front = run.pickRandom(run.machines('front'));
      run.noteFault(`${front} is cut off`);
      run.disruption.isolateExceptFrom(front);
      await run.advance(200);
      operatorFaults['prune']?.inject(run.disruption);
      await run.advance(11_000);
      run.fleet.net.heal();
      await run.advance(6000);
    },
  },
  /** Fronts stand still with tasks before them while a service and a branch are pruned, and wake after it is in force. */
  pruneWhileFrozen: {
    options: { tasks: 240 },
    run: async (run) => {
      const { machine } = run.fleet.host(run.pickRandom(run.machines('front')));
      run.noteFault(`${machine.name} stands still`);
      machine.freeze();
      const pruned = run.changeConfiguration({ part: { services: { memo: null }, quotas: { guest: null } } });
      await run.advance(9000);
      machine.wake();
      await run.advanceUntilSettled(pruned, 20_000);
      await run.advance(5000);
    },
  },
  /** A task waits out a dark replica while its service is pruned. */
  pruneWhileTried: {
    options: { tasks: 240 },
    run: async (run) => {
      run.noteFault('two models go dark');
      const dark = run.disruption.replicasOf('memo').slice(0, 2);
      for (const replica of dark) replica.machine.freeze();
      await run.advance(300);
      const pruned = run.changeConfiguration({ part: { services: { memo: null }, quotas: { guest: null } } });
      await run.advance(9000);
      for (const replica of dark) replica.machine.wake();
      await run.advanceUntilSettled(pruned, 20_000);
      await run.advance(3000);
    },
  },
  /** The controller loses its power right after each confirmation. */
  powerAfterConfirm: {
    run: async (run) => {
      // On slow disks, what was acknowledged without a sync is still on its way.
      for (const name of run.machines('controller')) run.fleet.host(name).disk.syncMs = 600;
      for (let round = 0; round < 4; round += 1) {
        await run.advanceUntilSettled(run.changeConfiguration({ part: { bounds: { requeueAttempts: 410 + round } } }), 20_000);
        run.noteFault('the controller loses its power');
        for (const name of run.machines('controller')) {
          run.fleet.kill(name);
          run.scheduleRestart(name, 500);
        }
        await run.advance(5000);
        await run.advanceUntilSettled(run.readConfiguration(), 20_000);
      }
    },
  },
  /** Two operators plan on the same version and confirm at once. */
  racingOperators: {
    run: async (run) => {
      for (let round = 0; round < 4; round += 1) {
        run.noteFault('operators race');
        operatorFaults['operatorsRace']?.inject(run.disruption);
        await run.advance(3000);
        await run.advanceUntilSettled(run.readConfiguration(), 20_000);
      }
    },
  },
};
