import { ScenarioError } from '../errors/index.js';
import { nextAccepted } from './nextAccepted.js';
import type { Scenario } from './scenario.js';

/** So slow that power can be lost between one write and the next. */
const slowSyncMs = 400;

/** Batches whose state machine hosts lose power, die, are cut off, or lose their disks. */
export const batchScenarios: Readonly<Record<string, Scenario>> = {
  /** The stores lose their power right after a batch was accepted. */
  powerAfterAccept: {
    options: { batches: 4 },
    run: async (run) => {
      for (const name of run.machines('store')) run.fleet.host(name).disk.syncMs = 250;
      for (let round = 0; round < 5; round += 1) {
        await nextAccepted(run);
        run.noteFault('the stores lose their power');
        for (const name of run.machines('store')) {
          run.fleet.kill(name);
          run.scheduleRestart(name, 300);
        }
        await run.advance(4000);
      }
    },
  },
  /** The leader of a batch's shard dies right after the batch was accepted. */
  ownerDiesAfterAccept: {
    options: { batches: 4 },
    takeoverMs: 1000,
    run: async (run) => {
      for (let round = 0; round < 5; round += 1) {
        const leader = await run.batchLeader(await nextAccepted(run));
        run.noteFault(`${leader} dies`);
        run.fleet.kill(leader);
        run.scheduleRestart(leader, 2500);
        await run.advance(6000);
      }
    },
  },
  /** The leader of a shard is cut off from the other stores and the controller, while fronts still ask it. */
  ownerCutOff: {
    options: { batches: 3, itemsPerBatch: 1, fronts: 10 },
    run: async (run) => {
      for (let round = 0; round < 4; round += 1) {
        const leader = await run.batchLeader(await nextAccepted(run));
        run.noteFault(`${leader} is cut off`);
        run.disruption.isolateExceptFrom(leader, run.machines('front'));
        await run.advance(6000);
        run.fleet.net.heal();
        await run.advance(3000);
      }
    },
  },
  /** One store hears nothing while another loses its disk; then the only one that knows all dies. */
  emptyDiskVotes: {
    options: { batches: 4 },
    run: async (run) => {
      const leader = await run.batchLeader(await nextAccepted(run));
      const [deaf, empty] = run.machines('store').filter((name) => name !== leader);
      if (deaf === undefined || empty === undefined) throw new ScenarioError('three stores are needed');
      run.noteFault(`${deaf} is cut off`);
      run.disruption.isolateExceptFrom(deaf);
      await run.advance(4000);
      run.noteFault(`${empty} loses its disk, ${leader} dies`);
      run.fleet.kill(empty);
      run.fleet.host(empty).disk.lose();
      run.fleet.kill(leader);
      run.fleet.net.heal();
      run.fleet.start(empty);
      await run.advance(5000);
      run.fleet.start(leader);
      await run.advance(3000);
    },
  },
  /** A store whose file is damaged empties it, and loses its power before it is anybody else; then the only one that knows all dies. */
  damagedThenPowerLost: {
    options: { batches: 4 },
    run: async (run) => {
      const leader = await run.batchLeader(await nextAccepted(run));
      const [deaf, damaged] = run.machines('store').filter((name) => name !== leader);
      if (deaf === undefined || damaged === undefined) throw new ScenarioError('three stores are needed');
      run.noteFault(`${deaf} is cut off`);
      run.disruption.isolateExceptFrom(deaf);
      await run.advance(4000);
      const { disk } = run.fleet.host(damaged);
      run.noteFault(`${damaged} is damaged and loses its power, ${leader} dies`);
      run.fleet.kill(damaged);
      for (const file of disk.files().filter((name) => name.endsWith('.shard'))) disk.damage(file);
      disk.syncMs = slowSyncMs;
      run.fleet.start(damaged);
      // Between two writes, wherever that is: the first has come to its end, the next is under way.
      await run.advance(slowSyncMs * 1.6);
      run.fleet.powerOff(damaged);
      disk.mend();
      run.fleet.kill(leader);
      run.fleet.net.heal();
      run.fleet.start(damaged);
      await run.advance(5000);
      run.fleet.start(leader);
      await run.advance(3000);
    },
  },
};
