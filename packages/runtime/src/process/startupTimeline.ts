import type { Clock } from '../clock/index.js';
import type { Log } from '../logging/index.js';
import type { ReachedStage } from './reachedStage.js';
import type { StartupStage } from './startupStage.js';

interface StartupTimelineOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** When the process began by that clock. The system's clock counts from there. */
  readonly startedMs?: number;
}

/** When a process reached each stage of its start: one log line each, and the whole for the status page. */
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

  /** Notes a stage as reached now; only the first time counts. */
  reach(stage: StartupStage): void {
    this.#awaited.delete(stage);
    if (this.#reached.some((one) => one.stage === stage)) return;
    const { clock, log, startedMs = 0 } = this.#options;
    const sinceStartMs = Math.round(clock.nowMs() - startedMs);
    this.#reached.push({ stage, sinceStartMs });
    log.info(JSON.stringify({ startup: stage, sinceStartMs }));
  }

  /** Notes a stage at the first look, from now on, that finds its condition true. */
  await(stage: StartupStage, condition: () => boolean): void {
    this.#awaited.set(stage, condition);
    this.look();
  }

  /**
   * Looks now. Called where something has changed that may have brought a stage about: a timer of its own would cost a
   * process that never reaches its last stage for as long as it runs.
   */
  look(): void {
    for (const [stage, condition] of [...this.#awaited]) if (condition()) this.reach(stage);
  }
}
