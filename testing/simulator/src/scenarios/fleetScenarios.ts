import type { Scenario } from './scenario.js';

/** The whole fleet: at rest, restarted, cut apart. */
export const fleetScenarios: Readonly<Record<string, Scenario>> = {
  quiet: {
    run: async (run) => {
      run.noteFault('nothing');
      await run.advance(6000);
    },
  },
  /** Controller machines and stores are restarted gracefully, one after another. */
  rollMachines: {
    run: async (run) => {
      for (const name of [...run.machines('controller'), ...run.machines('store')]) {
        run.noteFault(`${name} is restarted`);
        run.shutDown(name);
        run.scheduleRestart(name, 3500);
        await run.advance(6000);
      }
    },
  },
  /** Fronts and controller are cut apart for so long that each takes the other for gone. */
  cutApart: {
    // Nobody can read what nobody can reach.
    takeoverMs: 30_000,
    run: async (run) => {
      run.noteFault('cut apart');
      for (const name of run.machines('controller')) run.disruption.isolateExceptFrom(name, run.machines('controller'));
      for (const name of run.machines('front')) run.disruption.isolateExceptFrom(name, run.machines('front'));
      await run.advance(12_000);
    },
  },
};
