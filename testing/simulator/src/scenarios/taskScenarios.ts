import { replicaFaults } from '../faults/index.js';
import type { Scenario } from './scenario.js';

/** Tasks whose replicas break off, leave, or are not heard. */
export const taskScenarios: Readonly<Record<string, Scenario>> = {
  /** Replicas of tasks that may not be repeated break off while they run. */
  booksBreak: {
    options: { tasks: 120 },
    run: async (run) => {
      for (let round = 0; round < 20; round += 1) {
        run.noteFault('a book breaks off');
        run.disruption.abortReplica(run.pickRandom(run.disruption.replicasOf('book')), 300);
        await run.advance(500);
      }
    },
  },
  /** All model replicas break off at once, so that no other is left to try. */
  modelsBreak: {
    options: { tasks: 120 },
    run: async (run) => {
      for (let round = 0; round < 5; round += 1) {
        run.noteFault('all models break off');
        for (const replica of run.disruption.replicasOf('ask')) run.disruption.abortReplica(replica, 700);
        await run.advance(2500);
      }
    },
  },
  /** One model replica after another breaks off in the middle of its streams. */
  streamsBreak: {
    options: { tasks: 120 },
    run: async (run) => {
      for (let round = 0; round < 12; round += 1) {
        run.noteFault('a model breaks off');
        run.disruption.abortReplica(run.pickRandom(run.disruption.replicasOf('ask')), 800);
        await run.advance(900);
      }
    },
  },
  replicasLeave: {
    options: { tasks: 120 },
    run: async (run) => {
      for (let round = 0; round < 3; round += 1) {
        run.noteFault('a replica leaves');
        replicaFaults['replicaLeaves']?.inject(run.disruption);
        await run.advance(5000);
      }
    },
  },
  /** A replica says that it leaves to a front whose agent cannot say it on. */
  leaveUnheard: {
    options: { tasks: 120 },
    run: async (run) => {
      const front = run.pickRandom(run.machines('front'));
      run.noteFault(`${front} is cut off`);
      run.disruption.isolateExceptFrom(front);
      await run.advance(300);
      const replica = run.pickRandom(run.disruption.replicasOf('ask'));
      replica.announcing = false;
      run.fleet.announce(replica, replica.incarnation, 'leaving', run.fleet.host(front).process?.proxy);
      await run.advance(700);
      run.fleet.net.heal();
      // Known to the fleet once the front is back among the others.
      run.fleet.note({ type: 'replicaEnds', atMs: run.fleet.time.nowMs, replica: replica.address });
      await run.advance(3500);
      replica.instance.end();
    },
  },
};
