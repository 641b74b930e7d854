import type { Scenario } from './scenario.js';

const lossRatio = 0.7;
/** More than any memory of the last few hundred changes holds. */
const manyOrders = 260;

/** Operators that race on one version, and miss their acknowledgements. */
export const orderScenarios: Readonly<Record<string, Scenario>> = {
  /** Two operators on one base version, under one number and under two, each sending again what it heard nothing of. */
  ordersRace: {
    options: { tasks: 4, batches: 0 },
    run: async (run) => {
      for (let round = 0; round < 8; round += 1) {
        run.noteFault('two operators race');
        const racing = run.operators.sendConcurrently(round % 2 === 0 ? [1, 1] : [1, 2], lossRatio);
        if (round % 4 === 3) run.disruption.kill(run.configurationLeader(), 1500);
        await run.advanceAtMost(racing, 40_000);
        await run.advanceAtMost(run.readConfiguration(), 5000);
      }
    },
  },
  /** Each order is sent again: at once after one that the leader's death made unclear, and to a controller that was cut off meanwhile. */
  ordersRepeated: {
    options: { tasks: 4, batches: 0 },
    run: async (run) => {
      for (let round = 0; round < 6; round += 1) {
        const leader = run.configurationLeader();
        run.noteFault(`${leader} dies with an order on its way`);
        const order = run.operators.sendChange({ at: leader, lossRatio });
        await run.advance(round);
        run.disruption.kill(leader, 1500);
        await run.advanceAtMost(order, 40_000);
        await run.advanceAtMost(run.operators.sendChange(), 5000);
        await run.advanceAtMost(run.operators.resendOldestAndNewest(3), 20_000);
        await run.advance(2000);
      }
    },
  },
  /** Orders that were taken long ago are sent again, after hundreds of later ones and after the leader changed. */
  oldOrdersRepeated: {
    options: { tasks: 4, batches: 0 },
    run: async (run) => {
      for (let order = 0; order < 3; order += 1) await run.advanceAtMost(run.operators.sendChange({ lossRatio: 0.5 }), 5000);
      run.noteFault('hundreds of changes');
      for (let order = 0; order < manyOrders; order += 1) await run.advanceAtMost(run.operators.sendChange(), 5000);
      await run.advanceAtMost(run.operators.resendOldestAndNewest(5), 20_000);
      run.disruption.kill(run.configurationLeader(), 1500);
      await run.advance(3000);
      await run.advanceAtMost(run.operators.resendOldestAndNewest(5), 20_000);
      await run.advanceAtMost(run.readConfiguration(), 5000);
    },
  },
};
