import type { flags } from './flags.js';

/** What each flag means, with the commands that read it. */
export const flagHelp: Readonly<Record<keyof typeof flags, readonly [usage: string, summary: string]>> = {
  data: ['--data DIR', 'up, run: the directory of logs and data of the real fleet'],
  seconds: ['--seconds N', 'run: seconds under load before the first fault (10)'],
  faults: ['--faults A,B', 'run, sim: the faults in order; without them run injects none and sim selects some by the seed'],
  draw: ['--draw N', 'run: selects N faults by the seed instead'],
  seed: ['--seed N', '(1)'],
  seeds: ['--seeds N', 'sim, scenario, selection: the number of seeds, from --seed on (1)'],
  days: ['--days N', 'campaign: the number of days, each with its own seed, from --seed on (100)'],
  deployment: ['--deployment D', 'sim: the simulated deployment (listed)'],
  compare: ['--compare FILE', 'digest: a recorded list; names the cases that differ'],
  json: ['--json', 'scenario: the verdicts as JSON'],
  ci: ['--ci', 'mutations: only those that CI runs'],
  trace: ['--trace', 'sim, scenario: every change of state, with its virtual time'],
};
