import { partialPartitionScenarios } from './partialPartitionScenarios.js';
import type { Scenario } from './scenario.js';
import { catchUpScenarios } from './catchUpScenarios.js';
import { configurationScenarios } from './configurationScenarios.js';
import { fleetScenarios } from './fleetScenarios.js';
import { itemScenarios } from './itemScenarios.js';
import { limitScenarios } from './limitScenarios.js';
import { batchScenarios } from './batchScenarios.js';
import { orderScenarios } from './orderScenarios.js';
import { repairScenarios } from './repairScenarios.js';
import { taskScenarios } from './taskScenarios.js';

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
