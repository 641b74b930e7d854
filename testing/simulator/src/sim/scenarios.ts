import { partialPartitionScenarios } from './partialPartitionScenarios.js';
import type { Scenario } from './scenario.js';
import { catchUpScenarios } from './scenarios/catchUpScenarios.js';
import { configurationScenarios } from './scenarios/configurationScenarios.js';
import { fleetScenarios } from './scenarios/fleetScenarios.js';
import { itemScenarios } from './scenarios/itemScenarios.js';
import { limitScenarios } from './scenarios/limitScenarios.js';
import { batchScenarios } from './scenarios/batchScenarios.js';
import { orderScenarios } from './scenarios/orderScenarios.js';
import { repairScenarios } from './scenarios/repairScenarios.js';
import { taskScenarios } from './scenarios/taskScenarios.js';

/** For each line of what must never happen, runs that bring the failure about, by name. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  ...catchUpScenarios,
  ...configurationScenarios,
  ...fleetScenarios,
  ...itemScenarios,
  ...limitScenarios,
  ...batchScenarios,
  ...orderScenarios,
  ...partialPartitionScenarios,
  ...repairScenarios,
  ...taskScenarios,
};
