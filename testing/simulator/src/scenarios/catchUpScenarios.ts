import type { Scenario } from './scenario.js';

const hundredsOfOrders = 220;

/** A member that missed hundreds of changes. */
export const catchUpScenarios: Readonly<Record<string, Scenario>> = {
  /** It returns just when the leader is killed, first in the order, with its old state. */
  staleMemberReturns: {
    options: { tasks: 4, batches: 0 },
    run: async (run) => {
      const stale = run.configurationLeader();
      run.noteFault(`${stale} is away`);
      run.fleet.powerOff(stale);
      await run.advance(3000);
      for (let order = 0; order < hundredsOfOrders; order += 1) await run.advanceAtMost(run.operators.sendChange(), 5000);
      await run.advanceAtMost(run.changeConfiguration({ part: { services: { memo: null } } }), 5000);
      const leader = run.configurationLeader();
      run.noteFault(`${stale} is back, ${leader} is killed`);
      run.fleet.kill(leader);
      run.fleet.start(stale);
      for (let read = 0; read < 6; read += 1) {
        await run.advanceAtMost(run.readConfiguration(), 5000);
        await run.advance(500);
      }
      await run.advanceAtMost(run.operators.sendChange(), 5000);
      run.fleet.start(leader);
      await run.advance(3000);
    },
  },
};
