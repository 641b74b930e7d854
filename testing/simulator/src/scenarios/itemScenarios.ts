import { processFaults } from '../faults/index.js';
import { nextAccepted } from './nextAccepted.js';
import type { Scenario } from './scenario.js';

/** Items that are leased, started and ended while machines die and stand still. */
export const itemScenarios: Readonly<Record<string, Scenario>> = {
  /** Batches are ended while fronts stand still that have leases of theirs before them, and that are still fresh when they wake. */
  endedWhileFrozen: {
    options: { batches: 3, itemsPerBatch: 10, freshnessMs: 8000 },
    run: async (run) => {
      for (let round = 0; round < 5; round += 1) {
        // The batch is leased in the next tick, and ended a moment later.
        await nextAccepted(run, 60);
        const { machine } = run.fleet.host(run.pickRandom(run.machines('front')));
        run.noteFault(`${machine.name} stands still`);
        machine.freeze();
        await run.advance(5000);
        machine.wake();
        await run.advance(1500);
      }
    },
  },
  /** Fronts die and stand still while items that may not be repeated are with them. */
  itemsLost: {
    options: { batches: 5, itemsPerBatch: 20 },
    run: async (run) => {
      for (let round = 0; round < 4; round += 1) {
        run.noteFault('a front dies, another stands still');
        processFaults['killFront']?.inject(run.disruption);
        processFaults['freezeFront']?.inject(run.disruption);
        await run.advance(6000);
      }
    },
  },
  /** The dispatcher dies while a front that holds its leases stands still; the front wakes when the next one has leased them anew. */
  staleLeases: {
    options: { batches: 3, itemsPerBatch: 60, freshnessMs: 8000 },
    run: async (run) => {
      for (let round = 0; round < 8; round += 1) {
        await nextAccepted(run);
        const { machine } = run.fleet.host(run.pickRandom(run.machines('front')));
        const holder = run.dispatcher();
        run.noteFault(`${holder} dies, ${machine.name} stands still`);
        machine.freeze();
        // By then a tick has leased items to the front that does not move.
        await run.advance(350);
        run.fleet.kill(holder);
        run.scheduleRestart(holder, 1000);
        await run.advance(2400 + round * 100);
        machine.wake();
        await run.advance(2500);
      }
    },
  },
};
