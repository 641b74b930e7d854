import type { StartupStage } from './startupStage.js';

/** A startup stage and the time, in milliseconds since the start of the process, at which it was reached. */
export interface ReachedStage {
  readonly stage: StartupStage;
  readonly sinceStartMs: number;
}
