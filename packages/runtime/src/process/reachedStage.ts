import type { StartupStage } from './startupStage.js';

/** A stage of a process's start, and how long after its beginning the process reached it. */
export interface ReachedStage {
  readonly stage: StartupStage;
  readonly sinceStartMs: number;
}
