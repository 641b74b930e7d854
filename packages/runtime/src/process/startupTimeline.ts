import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { ReachedStage } from './reachedStage.js';
import type { StartupStage } from './startupStage.js';

interface StartupTimelineOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Start of the process by that clock, in milliseconds. 0 by default, the origin of the system's clock. */
  readonly startedMs?: number;
}

/** Records when a process reached each stage of its startup: a log line for each, and all of them for the status page. */
export class StartupTimeline {
  readonly #options: StartupTimelineOptions;
  readonly #reached: ReachedStage[] = [];
  readonly #awaited = new Map<StartupStage, () => boolean>();

  constructor(options: StartupTimelineOptions) {
    this.#options = options;
  }

  /** The stages reached so far, in order of time. */
  stages(): readonly ReachedStage[] {
    return [...this.#reached];
  }

  /** Records that a stage is reached now; later calls for the same stage have no effect. */
  reach(stage: StartupStage): void {
    this.#awaited.delete(stage);
    if (this.#reached.some((reached) => reached.stage === stage)) return;
    const { clock, log, startedMs = 0 } = this.#options;
    const sinceStartMs = Math.round(clock.nowMs() - startedMs);
    this.#reached.push({ stage, sinceStartMs });
    log.info(JSON.stringify({ startup: stage, sinceStartMs }));
  }

  /** Records the stage as soon as a look, this call included, finds the condition true. */
  await(stage: StartupStage, condition: () => boolean): void {
    this.#awaited.set(stage, condition);
    this.look();
  }

  /**
   * Checks the conditions of all awaited stages. Called after changes that may have fulfilled one; a timer instead would run for ever
   * in a process that never reaches its last stage.
   */
  look(): void {
    for (const [stage, condition] of [...this.#awaited]) {
      if (condition()) this.reach(stage);
    }
  }
}
