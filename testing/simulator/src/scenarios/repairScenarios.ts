import { ScenarioError } from '../errors/index.js';
import { nextAccepted } from './nextAccepted.js';
import type { Scenario } from './scenario.js';
import type { SimRun } from '../simulation/index.js';

/** The disks of a usual machine, and of one that takes thirty times as long. */
const usualSyncMs = 8;
const slowSyncMs = usualSyncMs * 30;
const offMs = 800;

/** A machine loses its disk; the next loss comes as soon as the bound for catching up has passed since its return. */
async function wiped(run: SimRun, name: string): Promise<void> {
  run.noteFault(`${name} loses its disk`);
  run.disruption.wipe(name, offMs);
  await run.advance(offMs + run.disruption.catchUpMs);
}

/** A second loss as soon as the first one's repair has had its time, and members that leave with the newest copy. */
export const repairScenarios: Readonly<Record<string, Scenario>> = {
  /** Every machine that holds copies loses its disk, one right after another. */
  disksLostInTurn: {
    options: { tasks: 4, batches: 2, joining: { copies: 3 } },
    run: async (run) => {
      for (const name of run.disruption.stateMachineHosts()) run.fleet.host(name).disk.syncMs = usualSyncMs;
      run.fleet.host('store-2').disk.syncMs = slowSyncMs;
      for (const position of [0, 1, 2]) {
        await nextAccepted(run);
        await wiped(run, run.machines('store')[position] ?? '');
        await run.advanceAtMost(run.operators.sendChange(), 5000);
        await wiped(run, run.machines('controller')[position] ?? '');
        await run.advanceAtMost(run.readConfiguration(), 5000);
      }
    },
  },
  /** Machines are replaced by empty ones at other addresses, and right after the bound another disk is lost. */
  replacedAndLost: {
    options: { tasks: 4, batches: 2, stores: 4, joining: { copies: 3 } },
    run: async (run) => {
      for (const role of ['store', 'controller'] as const) {
        const [gone, next] = run.machines(role);
        if (gone === undefined || next === undefined) throw new ScenarioError(`too few of ${role}`);
        await nextAccepted(run);
        await run.advanceAtMost(run.operators.sendChange(), 5000);
        run.noteFault(`${gone} is gone for good`);
        run.fleet.remove(gone);
        await run.advance(offMs);
        run.fleet.start(run.addMachine(role));
        await run.advance(run.disruption.catchUpMs);
        await wiped(run, next);
        await run.advanceAtMost(run.readConfiguration(), 5000);
      }
    },
  },
  /** A store that leads, and that holds the newest copy beside one other, is emptied and taken away; then the other loses its disk. */
  newestCopyLeaves: {
    options: { tasks: 4, batches: 3, stores: 4, joining: { copies: 3 } },
    run: async (run) => {
      for (let round = 0; round < 2; round += 1) {
        const leader = await run.batchLeader(await nextAccepted(run));
        const behind = run.pickRandom(run.machines('store').filter((name) => name !== leader));
        run.noteFault(`${behind} is away while lots are accepted`);
        run.disruption.powerOff(behind, 3000);
        await run.advance(3200);
        run.noteFault(`${leader} is emptied and taken away`);
        await run.advanceAtMost(run.emptyAndRemove(leader), 20_000);
        const other = run.pickRandom(run.machines('store').filter((name) => name !== behind));
        await wiped(run, other);
        run.fleet.start(run.addMachine('store'));
        await run.advance(2000);
      }
    },
  },
  /** The controller that leads is told to leave with an order just acknowledged, its successor being there; then another disk is lost. */
  leaderLeaves: {
    options: { tasks: 4, batches: 0.5, joining: { copies: 3 } },
    run: async (run) => {
      for (let round = 0; round < 2; round += 1) {
        const leader = run.configurationLeader();
        run.fleet.start(run.addMachine('controller'));
        await run.advance(1000);
        await run.advanceAtMost(run.operators.sendChange({ at: leader }), 5000);
        run.noteFault(`${leader} leaves`);
        run.decommission(leader);
        await run.advance(4000 + run.disruption.catchUpMs);
        await wiped(run, run.pickRandom(run.machines('controller')));
        await run.advanceAtMost(run.readConfiguration(), 5000);
      }
    },
  },
};
