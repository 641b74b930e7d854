import { ScenarioError } from '../errors/index.js';
import { partialPartition } from './partialPartition.js';
import type { Scenario } from './scenario.js';
import type { SimRun } from '../simulation/index.js';

/** The failure timeout that simulated fleets run under. */
const failureTimeoutMs = 1000;
/** A holder that hears no answers may renew for one timeout more; its lease is two; the grant and a tick take a half. */
const leaseBoundMs = failureTimeoutMs * 3.5;
/** Where the configuration shard's leader is cut off as well, its shard first elects another one, which waits out the lease anew. */
const failoverBoundMs = failureTimeoutMs * 3;
/** What was handed in meanwhile starts in turn once work goes on. */
const backlogMs = failureTimeoutMs / 2;

const cutMs = 20_000;
const roundMs = 2500;
const maxMoves = 3;

const options = { batches: 2, itemsPerBatch: 5, tasks: 30 } as const;
const leaseOnly = { options, takeoverMs: cutMs, itemStartMs: leaseBoundMs + backlogMs } as const;
const leaseAfterElection = { options, takeoverMs: cutMs, itemStartMs: leaseBoundMs + failoverBoundMs + backlogMs } as const;

/** While the cut lasts, two operators race and each machine is read at, the one that is cut off among them. */
async function raceOperators(run: SimRun, cutOff: string): Promise<void> {
  const [other = cutOff] = run.machines('controller').filter((name) => name !== cutOff);
  for (let round = 0; round < cutMs / roundMs; round += 1) {
    for (const [position, at] of [cutOff, other].entries())
      void run.changeConfiguration(
        { part: { bounds: { batchConcurrencyLimit: 100 + round * 2 + position } } },
        run.machines('controller').includes(at) ? at : undefined,
      );
    for (const at of run.machines('controller')) void run.readConfiguration(at);
    await run.advance(roundMs);
  }
}

type Cut = Omit<Parameters<typeof partialPartition>[1], 'machine'>;

async function cutOff(run: SimRun, machine: string, cut: Cut): Promise<void> {
  run.noteFault(`${machine} is cut off from its peers: ${cut.lost}, ${cut.how ?? 'silent'}`);
  partialPartition(run, { machine, ...cut });
  await raceOperators(run, machine);
  run.fleet.net.heal();
  await run.advance(roundMs * 2);
}

/** Has the dispatcher's role held on the configuration leader's machine, or on another: it moves when its holder dies. */
async function arrangeRoles(run: SimRun, together: boolean): Promise<void> {
  const arranged = (): boolean => (run.dispatcher() === run.configurationLeader()) === together;
  for (let moves = 0; moves < maxMoves && !arranged(); moves += 1) {
    const holder = run.dispatcher();
    run.fleet.kill(holder);
    run.scheduleRestart(holder, failureTimeoutMs * 5);
    await run.advance(failureTimeoutMs * 10);
  }
  if (!arranged()) throw new ScenarioError(`the dispatcher stayed on ${run.dispatcher()}`);
}

async function cutDispatcherOff(run: SimRun, cut: Cut): Promise<void> {
  await arrangeRoles(run, false);
  await cutOff(run, run.dispatcher(), cut);
}

async function cutConfigurationLeaderOff(run: SimRun, cut: Cut): Promise<void> {
  await arrangeRoles(run, false);
  await cutOff(run, run.configurationLeader(), cut);
}

async function cutBothRolesOff(run: SimRun, cut: Cut): Promise<void> {
  await arrangeRoles(run, true);
  await cutOff(run, run.configurationLeader(), cut);
}

/** One machine is cut off from its peers for a long while, and fronts still reach it. */
export const partialPartitionScenarios: Readonly<Record<string, Scenario>> = {
  dispatcherCutOff: { ...leaseOnly, run: (run) => cutDispatcherOff(run, { lost: 'both' }) },
  dispatcherHearsNoPeer: { ...leaseOnly, run: (run) => cutDispatcherOff(run, { lost: 'in' }) },
  dispatcherReachesNoPeer: { ...leaseOnly, run: (run) => cutDispatcherOff(run, { lost: 'out' }) },
  dispatcherRefused: { ...leaseOnly, run: (run) => cutDispatcherOff(run, { lost: 'both', how: 'refused' }) },
  configurationLeaderCutOff: { ...leaseOnly, run: (run) => cutConfigurationLeaderOff(run, { lost: 'both' }) },
  configurationLeaderHearsNoPeer: { ...leaseOnly, run: (run) => cutConfigurationLeaderOff(run, { lost: 'in' }) },
  configurationLeaderReachesNoPeer: { ...leaseOnly, run: (run) => cutConfigurationLeaderOff(run, { lost: 'out' }) },
  bothRolesCutOff: { ...leaseAfterElection, run: (run) => cutBothRolesOff(run, { lost: 'both' }) },
  bothRolesHearNoPeer: { ...leaseAfterElection, run: (run) => cutBothRolesOff(run, { lost: 'in' }) },
  bothRolesReachNoPeer: { ...leaseAfterElection, run: (run) => cutBothRolesOff(run, { lost: 'out' }) },
  bothRolesRefused: { ...leaseAfterElection, run: (run) => cutBothRolesOff(run, { lost: 'both', how: 'refused' }) },
  batchLeaderCutOff: { ...leaseOnly, run: async (run) => cutOff(run, await run.batchLeader('lots-0'), { lost: 'both' }) },
  batchLeaderHearsNoPeer: { ...leaseOnly, run: async (run) => cutOff(run, await run.batchLeader('lots-0'), { lost: 'in' }) },
  batchLeaderReachesNoPeer: { ...leaseOnly, run: async (run) => cutOff(run, await run.batchLeader('lots-0'), { lost: 'out' }) },
};
