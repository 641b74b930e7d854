import type { Scenario } from './scenario.js';

/** The whole fleet: at rest, restarted, cut apart. */
export const fleetScenarios: Readonly<Record<string, Scenario>> = {
  quiet: {
    act: async (run) => {
      run.fault('nothing');
      await run.pass(6000);
    },
  },
  /** Controller machines and stores are restarted politely, one after another. */
  rollMachines: {
    act: async (run) => {
      for (const name of [...run.machines('controller'), ...run.machines('store')]) {
        run.fault(`${name} is restarted`);
        run.leave(name);
        run.restart(name, 3500);
        await run.pass(6000);
      }
    },
  },
  /** Fronts and controller are cut apart for so long that each takes the other for gone. */
  cutApart: {
    // Nobody can read what nobody can reach.
    takeoverMs: 30_000,
    act: async (run) => {
      run.fault('cut apart');
      for (const name of run.machines('controller')) run.disruption.cutFrom(name, run.machines('controller'));
      for (const name of run.machines('front')) run.disruption.cutFrom(name, run.machines('front'));
      await run.pass(12_000);
    },
  },
};
