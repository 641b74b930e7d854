import type { Scenario } from './scenario.js';

/** Waiting work that must stay inside its branch's share. */
export const limitScenarios: Readonly<Record<string, Scenario>> = {
  /** Nobody hands in a batch for a minute; then both quotas have more waiting than their share. */
  floodAfterIdle: {
    options: { tasks: 2, batches: 0.8, itemsPerBatch: 40, requestsPerMinute: 1200 },
    run: async (run) => {
      run.traffic.batchQuotas = [];
      await run.advance(60_000);
      run.noteFault('a flood of lots');
      run.traffic.batchQuotas = ['north', 'south'];
      for (const quota of run.traffic.batchQuotas) for (let batch = 0; batch < 8; batch += 1) run.traffic.flood(quota, 100);
      await run.advance(80_000);
    },
  },
  /** The dispatcher dies again and again while both quotas have more waiting than their share. */
  floodAndMoves: {
    options: { tasks: 2, batches: 0.8, itemsPerBatch: 40, requestsPerMinute: 1200 },
    run: async (run) => {
      run.noteFault('the dispatcher moves, again and again');
      for (let round = 0; round < 9; round += 1) {
        const holder = run.dispatcher();
        if (round % 3 === 2) run.fleet.kill(holder);
        else run.shutDown(holder);
        run.scheduleRestart(holder, 3000);
        await run.advance(9000);
      }
    },
  },
};
