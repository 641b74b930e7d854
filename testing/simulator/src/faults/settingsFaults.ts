import type { SimFault } from './simFault.js';

const stepMs = 2000;

/** Clocks are stepped, settings name other seeds, and programs are told to read their settings again. */
export const settingsFaults: Readonly<Record<string, SimFault>> = {
  clocksAhead: {
    act: (d) => {
      d.stepClocks(0.3, stepMs, d.span(2000, 8000));
      return true;
    },
  },
  clocksBack: {
    act: (d) => {
      d.stepClocks(0.3, -stepMs, d.span(2000, 8000));
      return true;
    },
  },
  /** The settings name other seeds, in another order; some read them at once, some at their next start. */
  seedsTurned: {
    act: (d) => {
      d.turnSeeds();
      for (const name of d.some(d.everybody(), 0.5)) d.environment.later(d.span(0, 3000), () => d.environment.fleet.reload(name));
      for (const name of d.some(d.environment.machines('front'), 0.3)) d.kill(name, 500);
      return true;
    },
  },
  reloadSignals: {
    act: (d) => {
      for (const name of d.some(d.everybody(), 0.3)) d.environment.later(d.span(0, 2000), () => d.environment.fleet.reload(name));
      return true;
    },
  },
};
