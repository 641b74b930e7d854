import type { LeaderFinder } from '@pewterlanding/consensus';
import { isFields } from '@pewterlanding/model';
import { pause } from '@pewterlanding/runtime';
import type { Finding, NodeName, PlanId } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { ChangeOutcome } from '../configuration/changeOutcome.js';
import { controllerCalls } from '../controllerCalls.js';
import type { Plan } from '../configuration/plan.js';
import type { PlanOutcome } from '../configuration/planOutcome.js';
import type { Proposal } from '../configuration/proposal.js';
import { placementCalls } from '../placement/placementCalls.js';
import type { ConfigurationChange } from '../configuration/configurationChange.js';

interface OperatorApiOptions {
  readonly finder: LeaderFinder;
  readonly clock: Clock;
  /** How long an operator's word may take; a confirmation waits for fronts that lapse. */
  readonly waitMs: number;
}

interface Confirmed {
  readonly outcome: PlanOutcome;
  /** Whether it is sure that no front still carries tasks by an older version. */
  readonly inForce: boolean;
}

const pollsPerWait = 200;
/** How much longer a change may take for each of its items. */
const itemMs = 3;

/** What an operator asks of the controller, wherever its leader is. */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  plan(id: PlanId, proposal: Proposal): Promise<{ plan?: Plan | undefined; findings: Finding[] }> {
    return this.#options.finder.ask('setup', controllerCalls.plan, { id, proposal }, this.#options.waitMs);
  }

  readPlan(plan: PlanId): Promise<Plan | undefined> {
    return this.#options.finder.ask('setup', controllerCalls.readPlan, { plan }, this.#options.waitMs);
  }

  configuration(waitMs = this.#options.waitMs) {
    return this.#options.finder.ask('setup', controllerCalls.configuration, {}, waitMs);
  }

  /** Puts a change in force in one call. May be sent again unchanged, at any controller. No front is waited for. */
  set(change: ConfigurationChange, waitMs = this.#options.waitMs): Promise<ChangeOutcome> {
    const named = change.change.kind === 'whole' ? change.change.configuration : change.change;
    const items = [named['routes'], named['services']].reduce((sum: number, all) => sum + (isFields(all) ? Object.keys(all).length : 0), 0);
    // Asked again too early, a large change would only be worked on twice.
    return this.#options.finder.ask('setup', controllerCalls.set, { change }, waitMs, items * itemMs);
  }

  /** Has a store that joined by itself emptied, so that it can be taken away. */
  empty(name: NodeName): Promise<'started' | 'unknown' | 'too few'> {
    return this.#options.finder.ask('setup', placementCalls.empty, { name }, this.#options.waitMs);
  }

  /** How far that has come; `settled` once the store may be taken away with its disk. */
  emptied(name: NodeName): Promise<'running' | 'settled' | 'unknown'> {
    return this.#options.finder.ask('setup', placementCalls.emptied, { name }, this.#options.waitMs);
  }

  /** Confirms, and returns a confirmation only once it is in force everywhere, or when patience ends. */
  async confirm(plan: PlanId, acknowledged: boolean): Promise<Confirmed> {
    const { finder, clock, waitMs } = this.#options;
    const atMs = clock.wallMs();
    const untilMs = clock.nowMs() + waitMs;
    for (;;) {
      const leftMs = Math.max(1, untilMs - clock.nowMs());
      const response = await finder.ask('setup', controllerCalls.confirm, { plan, acknowledged, atMs }, leftMs);
      if (response.outcome.outcome !== 'confirmed' || response.inForce || clock.nowMs() >= untilMs) return response;
      await pause(clock, waitMs / pollsPerWait);
    }
  }
}
