import { cutFaults } from './cutFaults.js';
import { diskFaults } from './diskFaults.js';
import { operatorFaults } from './operatorFaults.js';
import { powerFaults } from './powerFaults.js';
import { processFaults } from './processFaults.js';
import { replacementFaults } from './replacementFaults.js';
import { replicaFaults } from './replicaFaults.js';
import { settingsFaults } from './settingsFaults.js';
import type { SimFault } from './simFault.js';

/** Every fault that simulated days draw from, by its name. */
export const faults: Readonly<Record<string, SimFault>> = {
  ...processFaults,
  ...powerFaults,
  ...diskFaults,
  ...cutFaults,
  ...settingsFaults,
  ...replicaFaults,
  ...replacementFaults,
  ...operatorFaults,
};
