import { PewterError } from '@pewterlanding/model';

/** This proxy has no configuration yet, so it cannot determine which shard stores a batch. The call may succeed once one arrives. */
export class ConfigurationMissingError extends PewterError {
  readonly code = 'PEWTER_CONFIGURATION_MISSING';
  readonly retriable = true;

  constructor() {
    super('no configuration yet');
  }
}
