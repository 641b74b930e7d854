import { describe, it } from 'node:test';
import { expect } from 'earl';
import { simScenario, SimRun } from '../src/index.js';

const missed = 220;
/** How long the usual number of messages is counted. */
const usualMs = 1000;

/** How far the member of a controller has come in the log of the configuration; nothing while its process is not a member. */
const committedAt = (run: SimRun, name: string): number => run.fleet.host(name).process?.controller?.member?.committed ?? 0;

describe('a member that was off during hundreds of configuration changes', () => {
  for (const seed of [4, 5])
    it(`never leads with its old state, though the leader dies as it returns, seed ${seed}`, async () => {
      const { history, violations } = await simScenario('staleMemberReturns', seed);
      expect(violations).toEqual([]);
      const taken = history.filter((one) => one.type === 'orderAnswered' && one.outcome === 'taken').length;
      expect(taken >= 200).toEqual(true);
      expect(history.filter((one) => one.type === 'configurationRead').length >= 5).toEqual(true);
    });

  for (const seed of [7, 8])
    it(`catches up well within the bound, while changes go on, seed ${seed}`, async () => {
      const run = new SimRun({ seed, joining: { copies: 3 } });
      await run.begin(false);
      const off = run.machines('controller').find((name) => name !== run.configurationLeader()) ?? '';
      run.fleet.powerOff(off);
      for (let order = 0; order < missed; order += 1) await run.advanceUntilSettled(run.operators.sendChange(), 20_000);
      run.operators.sendPeriodically(50, 0);
      const target = committedAt(run, run.configurationLeader());
      const before = run.fleet.net.messages;
      await run.advance(usualMs);
      const usual = (run.fleet.net.messages - before) / usualMs;
      const messages = run.fleet.net.messages;
      run.fleet.start(off);
      const startMs = run.fleet.time.nowMs;
      while (committedAt(run, off) < target && run.fleet.time.nowMs - startMs < run.disruption.catchUpMs) await run.advance(10);
      expect(committedAt(run, off) >= target).toEqual(true);
      expect(run.fleet.time.nowMs - startMs).toBeLessThan(run.disruption.catchUpMs / 2);
      // In steps: beside what is said at any time, there is no message for each change that was missed.
      const steps = run.fleet.net.messages - messages - usual * (run.fleet.time.nowMs - startMs);
      expect(steps).toBeLessThan(missed);
      run.operators.stop();
    });
});
