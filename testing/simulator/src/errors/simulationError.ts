import { PewterError } from '@pewterlanding/model';

/** A simulated day or model run cannot go on, or shows a violation. */
export class SimulationError extends PewterError {
  readonly code = 'PEWTER_SIMULATION';
  readonly retriable = false;
}
