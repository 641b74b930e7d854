import type { flags } from './flags.js';

/** What each flag means, with the commands that read it. */
export const flagHelp: Readonly<Record<keyof typeof flags, readonly [usage: string, summary: string]>> = {
  data: ['--data DIR', 'up, run: the directory of logs and data of the real fleet'],
  seconds: ['--seconds N', 'run: seconds under load before the first fault; hollow: seconds measured at each size (10)'],
  faults: ['--faults A,B', 'run, sim: the faults in order; without them run injects none and sim selects some by the seed'],
  draw: ['--draw N', 'run: selects N faults by the seed instead'],
  seed: ['--seed N', '(1)'],
  seeds: ['--seeds N', 'sim, scenario: the number of seeds, from --seed on (1)'],
  days: ['--days N', 'campaign: the number of days, each with its own seed, from --seed on (100)'],
  deployment: ['--deployment D', 'sim: the simulated deployment (listed)'],
  beat: ['--beat MS', 'hollow: the heartbeat interval; the failure timeout is four of it (1000)'],
  announce: ['--announce MS', "hollow: the interval of a replica's announcements; 0 for a single one (0)"],
  replicas: ['--replicas N', 'hollow: replicas of each proxy (6)'],
  running: ['--running N', 'hollow: replicas at which a proxy has tasks, others at each heartbeat (0)'],
  controllers: ['--controllers N', 'hollow: the number of controllers (3)'],
  losses: ['--losses', "hollow: also stops racks, zones, regions and the nodes at the broadcast tree's root"],
  compare: ['--compare FILE', 'digest: a recorded list; names the cases that differ'],
  json: ['--json', 'scenario: the verdicts as JSON'],
  ci: ['--ci', 'mutations: only those that CI runs'],
  trace: ['--trace', 'sim, scenario: every change of state, with its virtual time'],
};
