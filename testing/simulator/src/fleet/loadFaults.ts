import type { FleetFault } from './fleetFault.js';
import { sleep } from './sleep.js';

/** Crowds, and many batches at once. */
export const loadFaults: Readonly<Record<string, FleetFault>> = {
  /** Four hundred live tasks in a second, three seconds long. */
  floodTasks: async ({ load: drive, traffic, noteEffect: took }) => {
    const [first] = traffic;
    if (first === undefined) return;
    for (let step = 0; step < 120; step += 1) {
      for (let task = 0; task < 10; task += 1) drive.ask(first);
      await sleep(25);
    }
    took(first.service, '1,200 tasks in 3 s');
  },
  /** Far more items than any branch's share, from every branch that hands in batches, for a little over a minute. */
  floodBatches: async ({ load: drive, traffic, noteEffect: took }) => {
    const batches = traffic.find((one) => one.batchItems !== undefined);
    if (batches === undefined) return;
    let items = 0;
    for (let second = 0; second < 75; second += 1) {
      for (const quota of batches.quotas) {
        if (second % 2 === 0) void drive.hand(batches, 200, quota);
        items += second % 2 === 0 ? 200 : 0;
      }
      await sleep(1000);
    }
    took(batches.quotas.join(', '), `${items} items in 75 s; ${await drive.endAll()} lots ended after it`);
  },
};
