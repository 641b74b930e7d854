import type { FleetFault } from './fleetFault.js';
import { linkFaults } from './linkFaults.js';
import { loadFaults } from './loadFaults.js';
import { operatorFaults } from './operatorFaults.js';
import { processFaults } from './processFaults.js';
import { replicaFaults } from './replicaFaults.js';

/** Faults on real processes: by signal, by wiping folders, by relays between machines, by stand-ins that go. Each repairs itself. */
export const fleetFaults: Readonly<Record<string, FleetFault>> = {
  ...processFaults,
  ...replicaFaults,
  ...linkFaults,
  ...operatorFaults,
  ...loadFaults,
};
