import { PewterError } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';

/** A controller machine answered 503: it reaches no leader. */
export class UnavailableError extends PewterError {
  readonly code = 'PEWTER_CONTROLLER_UNAVAILABLE';
  readonly retriable = true;

  constructor(controller: Address, body: string) {
    super(`${controller}: ${body}`);
  }
}
