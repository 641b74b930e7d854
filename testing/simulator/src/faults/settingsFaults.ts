import type { SimFault } from './simFault.js';

const stepMs = 2000;

/** Clocks are stepped, settings name other seeds, and programs are told to read their settings again. */
export const settingsFaults: Readonly<Record<string, SimFault>> = {
  clocksAhead: {
    inject: (d) => {
      d.stepClocks(0.3, stepMs, d.randomSpan(2000, 8000));
      return true;
    },
  },
  clocksBack: {
    inject: (d) => {
      d.stepClocks(0.3, -stepMs, d.randomSpan(2000, 8000));
      return true;
    },
  },
  /** The settings name other seeds, in another order; some read them at once, some at their next start. */
  seedsTurned: {
    inject: (d) => {
      d.shuffleSeeds();
      for (const name of d.randomSubset(d.machines(), 0.5))
        d.environment.schedule(d.randomSpan(0, 3000), () => d.environment.fleet.reload(name));
      for (const name of d.randomSubset(d.environment.machines('front'), 0.3)) d.kill(name, 500);
      return true;
    },
  },
  reloadSignals: {
    inject: (d) => {
      for (const name of d.randomSubset(d.machines(), 0.3))
        d.environment.schedule(d.randomSpan(0, 2000), () => d.environment.fleet.reload(name));
      return true;
    },
  },
};
