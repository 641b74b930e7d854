import type { Disruption } from '../simulation/index.js';

/** A fault of simulated days, which also schedules its own repair. */
export interface SimFault {
  /** False where it has to wait its turn: more machines that hold copies would be lost at once than is survived. */
  readonly inject: (disruption: Disruption) => boolean;
  /** Only where controllers and stores join by announcing themselves. */
  readonly joining?: true;
}
