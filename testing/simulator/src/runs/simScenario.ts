import { ScenarioError } from '../errors/index.js';
import { briefBounds } from '../checkers/index.js';
import { scenarios } from '../scenarios/index.js';
import { SimRun } from '../simulation/index.js';

/** Runs one scenario under a seed. */
export async function simScenario(name: string, seed: number, trace?: (line: string) => void) {
  const scenario = scenarios[name];
  if (scenario === undefined) throw new ScenarioError(`no scenario ${name}`);
  const run = new SimRun({ seed, ...scenario.options, ...(trace === undefined ? {} : { trace }) });
  await run.begin();
  await scenario.run(run);
  return { history: run.fleet.history, ...(await run.finish(scenario.takeoverMs ?? briefBounds.recoveryMs, scenario.itemStartMs)) };
}
