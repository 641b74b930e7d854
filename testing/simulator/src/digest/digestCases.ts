import { runModel } from '../model/runModel.js';
import { partialPartitionScenarios } from '../sim/partialPartitionScenarios.js';
import type { Scenario } from '../sim/scenario.js';
import { catchUpScenarios } from '../sim/scenarios/catchUpScenarios.js';
import { configurationScenarios } from '../sim/scenarios/configurationScenarios.js';
import { fleetScenarios } from '../sim/scenarios/fleetScenarios.js';
import { itemScenarios } from '../sim/scenarios/itemScenarios.js';
import { limitScenarios } from '../sim/scenarios/limitScenarios.js';
import { batchScenarios } from '../sim/scenarios/batchScenarios.js';
import { orderScenarios } from '../sim/scenarios/orderScenarios.js';
import { repairScenarios } from '../sim/scenarios/repairScenarios.js';
import { taskScenarios } from '../sim/scenarios/taskScenarios.js';
import { simDay } from '../sim/simDay.js';
import { simDeployments } from '../sim/simDeployments.js';
import { simScenario } from '../sim/simScenario.js';
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
