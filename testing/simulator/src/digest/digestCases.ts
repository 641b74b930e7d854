import { runModel } from '../model/index.js';
import {
  partialPartitionScenarios,
  catchUpScenarios,
  configurationScenarios,
  fleetScenarios,
  itemScenarios,
  limitScenarios,
  batchScenarios,
  orderScenarios,
  repairScenarios,
  taskScenarios,
} from '../scenarios/index.js';
import type { Scenario } from '../scenarios/index.js';
import { simDay, simScenario } from '../runs/index.js';
import { simDeployments } from '../simulation/index.js';
import type { DigestCase } from './digestCase.js';

const daySeeds = [1, 2, 3, 4, 5, 6];
const scenarioSeed = 1;
const scenariosPerFile = 10;
const modelSeeds = [100, 101];
const modelCases = 5;

/** In the alphabetical order of their files. */
const scenarioFiles: readonly Readonly<Record<string, Scenario>>[] = [
  catchUpScenarios,
  configurationScenarios,
  fleetScenarios,
  itemScenarios,
  limitScenarios,
  batchScenarios,
  orderScenarios,
  partialPartitionScenarios,
  repairScenarios,
  taskScenarios,
];

const days = Object.keys(simDeployments).flatMap((deployment) =>
  daySeeds.map((seed) => ({ name: `day:${deployment}:${seed}`, run: async () => (await simDay({ seed, deployment })).history })),
);

const scenarios = scenarioFiles.flatMap((file) =>
  Object.keys(file)
    .slice(0, scenariosPerFile)
    .map((name) => ({ name: `scenario:${name}`, run: async () => (await simScenario(name, scenarioSeed)).history })),
);

const models = ([1, 2] as const).flatMap((tolerance) =>
  modelSeeds.map((seed) => ({
    name: `model:${tolerance}:${seed}`,
    run: async () => {
      const operations: object[] = [];
      await runModel({ tolerance, seed, cases: modelCases, ended: (history) => operations.push(...history) });
      return operations;
    },
  })),
);

/** The cases in their fixed order. New ones go to the end, so that a recorded list stays comparable. */
export const digestCases: readonly DigestCase[] = [...days, ...scenarios, ...models];
