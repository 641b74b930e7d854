import * as fc from 'fast-check';
import { faultCommands } from './faultCommands.js';
import { ModelCluster } from './modelCluster.js';
import { orderCommands } from './orderCommands.js';
import type { RegisterOperation } from './registerOperation.js';

interface RunModelOptions {
  readonly tolerance: 1 | 2;
  readonly seed: number;
  readonly cases: number;
  /** The way to one case, as a failure printed it. */
  readonly path?: string | undefined;
  readonly replayPath?: string | undefined;
  readonly maxCommands?: number;
  readonly trace?: ((line: string) => void) | undefined;
  /** Is given the operators' history of each case at its end. */
  readonly ended?: (history: readonly RegisterOperation[]) => void;
}

interface Counts {
  readonly cases: number;
  readonly steps: number;
  readonly events: number;
  readonly orders: number;
  readonly answered: number;
  /** The longest that a group took to be whole after the last fault. */
  readonly worstRecoveryMs: number;
}

/** A run that takes longer than this fails as it is, so that a failing case is not made shorter for ever. */
const minLimitMs = 60_000;
const limitMsPerCase = 2000;

/** Runs cases drawn from a seed. One that fails is made shorter, and thrown with its seed, its path and its commands. */
export async function runModel(options: RunModelOptions): Promise<Counts> {
  const { tolerance, seed, cases, path, replayPath, maxCommands = 40, trace, ended } = options;
  const counts = { cases: 0, steps: 0, events: 0, orders: 0, answered: 0, worstRecoveryMs: 0 };
  const commands = fc.commands([...orderCommands, ...orderCommands, ...faultCommands], {
    maxCommands: maxCommands,
    size: 'max',
    ...(replayPath === undefined ? {} : { replayPath }),
  });
  const property = fc.asyncProperty(fc.noShrink(fc.nat()), commands, async (chance, chosen) => {
    const cluster = new ModelCluster({ seed: chance, tolerance, trace });
    try {
      await cluster.begin();
      await fc.asyncModelRun(() => ({ model: cluster, real: cluster }), chosen);
      await cluster.finish();
    } finally {
      const { history } = cluster.operators;
      ended?.(history);
      counts.cases += 1;
      counts.steps += cluster.steps;
      counts.events += cluster.time.events;
      counts.orders += history.length;
      counts.answered += history.filter(({ ended }) => ended !== undefined).length;
      counts.worstRecoveryMs = Math.max(counts.worstRecoveryMs, cluster.recoveryMs);
      cluster.close();
    }
  });
  await fc.assert(property, {
    seed,
    numRuns: cases,
    ...(path === undefined ? {} : { path, endOnFailure: true }),
    includeErrorInReport: true,
    interruptAfterTimeLimit: minLimitMs + cases * limitMsPerCase,
    markInterruptAsFailure: true,
  });
  return counts;
}
