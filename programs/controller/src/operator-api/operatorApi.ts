import type { LeaderFinder } from '@pewterlanding/consensus';
import { isFields } from '@pewterlanding/model';
import { pause } from '@pewterlanding/runtime';
import type { Finding, NodeName, PlanId } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { AuditTrail } from '../audit/auditTrail.js';
import type { ChangeOutcome } from '../configuration/changeOutcome.js';
import type { Confirmation } from '../audit/confirmation.js';
import { controllerCalls } from '../controllerCalls.js';
import { configurationShardName } from '../configuration/configurationShardName.js';
import type { Plan } from '../configuration/plan.js';
import type { PlanOutcome } from '../configuration/planOutcome.js';
import type { Proposal } from '../configuration/proposal.js';
import { placementCalls } from '../placement/placementCalls.js';
import type { ConfigurationChange } from '../configuration/configurationChange.js';

interface OperatorApiOptions {
  readonly finder: LeaderFinder;
  readonly clock: Clock;
  /** How long an operator's request may take, in milliseconds; a confirmation waits for fronts whose freshness runs out. */
  readonly waitMs: number;
}

interface Confirmed {
  readonly outcome: PlanOutcome;
  /** Whether it is certain that no front still forwards tasks by an older version. */
  readonly inForce: boolean;
}

const pollsPerWait = 200;
/** How much longer a change may take for each of its routes and services. */
const msPerItem = 3;

/** Calls that operators make of the configuration shard's leader, wherever it is. They fail as `LeaderFinder.ask` does. */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  plan(id: PlanId, proposal: Proposal): Promise<{ plan?: Plan | undefined; findings: Finding[] }> {
    return this.#options.finder.ask(configurationShardName, controllerCalls.plan, { id, proposal }, this.#options.waitMs);
  }

  readPlan(plan: PlanId): Promise<Plan | undefined> {
    return this.#options.finder.ask(configurationShardName, controllerCalls.readPlan, { plan }, this.#options.waitMs);
  }

  configuration(waitMs = this.#options.waitMs) {
    return this.#options.finder.ask(configurationShardName, controllerCalls.configuration, {}, waitMs);
  }

  /** The newest confirmations, oldest first. */
  history(): Promise<Confirmation[]> {
    return this.#options.finder.ask(configurationShardName, controllerCalls.history, {}, this.#options.waitMs);
  }

  audit(): Promise<AuditTrail> {
    return this.#options.finder.ask(configurationShardName, controllerCalls.audit, {}, this.#options.waitMs);
  }

  /** Puts a change in force in one call. May be sent again unchanged, at any controller. No front is waited for. */
  set(change: ConfigurationChange, waitMs = this.#options.waitMs): Promise<ChangeOutcome> {
    // A large change that is tried again too early would only be worked on twice.
    const extraTryMs = itemsOf(change) * msPerItem;
    return this.#options.finder.ask(configurationShardName, controllerCalls.set, { change }, waitMs, extraTryMs);
  }

  /** Starts emptying a store that joined by announcing itself, so that it can be retired. */
  empty(name: NodeName): Promise<'started' | 'unknown' | 'too few'> {
    return this.#options.finder.ask(configurationShardName, placementCalls.empty, { name }, this.#options.waitMs);
  }

  /** How far that has come; `settled` once the store may be retired with its disk. */
  emptied(name: NodeName): Promise<'running' | 'settled' | 'unknown'> {
    return this.#options.finder.ask(configurationShardName, placementCalls.emptied, { name }, this.#options.waitMs);
  }

  /** Confirms, and returns a confirmation only once it is in force everywhere, or when `waitMs` has passed. */
  async confirm(plan: PlanId, acknowledged: boolean): Promise<Confirmed> {
    const { finder, clock, waitMs } = this.#options;
    const atMs = clock.wallMs();
    const untilMs = clock.nowMs() + waitMs;
    for (;;) {
      const leftMs = Math.max(1, untilMs - clock.nowMs());
      const response = await finder.ask(configurationShardName, controllerCalls.confirm, { plan, acknowledged, atMs }, leftMs);
      if (response.outcome.outcome !== 'confirmed' || response.inForce || clock.nowMs() >= untilMs) return response;
      await pause(clock, waitMs / pollsPerWait);
    }
  }
}

/** How many routes and services a change holds. */
function itemsOf({ change }: ConfigurationChange): number {
  const document = change.kind === 'whole' ? change.configuration : change;
  return countOf(document['routes']) + countOf(document['services']);
}

function countOf(items: unknown): number {
  return isFields(items) ? Object.keys(items).length : 0;
}
