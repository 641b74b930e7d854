import type { FaultContext } from './faultContext.js';

/** A fault on real processes, which also brings about its own repair. */
export type FleetFault = (context: FaultContext) => Promise<void>;
