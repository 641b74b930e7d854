import { PewterError } from '@pewterlanding/model';

/** The harness around real processes failed, or what they were asked did not come about. */
export class HarnessError extends PewterError {
  readonly code = 'PEWTER_SIMULATION_HARNESS';
  readonly retriable = false;
}
