import { PewterError } from '@pewterlanding/model';

/** A scenario is unknown, or the fleet does not offer what it needs. */
export class ScenarioError extends PewterError {
  readonly code = 'PEWTER_SIMULATION_SCENARIO';
  readonly retriable = false;
}
