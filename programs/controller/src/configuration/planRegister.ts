import type { Configuration, PlanId } from '@pewterlanding/model';
import type { Difference } from '../audit/difference.js';
import { CompletedPlans } from './completedPlans.js';
import type { ConfigurationState } from './configurationState.js';
import type { Plan } from './plan.js';
import type { PlanOutcome } from './planOutcome.js';

interface Confirmed {
  readonly outcome: PlanOutcome;
  /** What to put in force; left out where the plan was not confirmed now. */
  readonly accepted?: { readonly next: Configuration; readonly differences: Difference[] };
}

/** Plans that operators may still confirm; each holds a whole configuration. */
const maxOpenPlans = 32;
/** Completed plans that can still be read whole. */
const maxReadablePlans = 8;

/** The plans of the configuration shard: open ones in its state, and the outcomes of completed ones. */
export class PlanRegister {
  readonly #completed = new CompletedPlans();

  find({ plans }: ConfigurationState, id: PlanId): Plan | undefined {
    return plans.find((plan) => plan.id === id);
  }

  /** Adds a plan, once; one that was made on an older version is completed at once, as a conflict. */
  add(state: ConfigurationState, plan: Plan): void {
    if (this.find(state, plan.id) !== undefined || this.#completed.find(plan.id) !== undefined) return;
    const { plans, version } = state;
    const completed = plans.filter((one) => one.outcome !== undefined).slice(-maxReadablePlans);
    const open = plans.filter((one) => one.outcome === undefined);
    state.plans = [...completed, ...open, plan].slice(-(maxReadablePlans + maxOpenPlans));
    if (plan.base !== version) this.#complete(plan, { outcome: 'conflict', version });
  }

  /** Confirms a plan; a confirmation that is repeated returns the outcome of the first one. */
  confirm(state: ConfigurationState, id: PlanId, acknowledged: boolean): Confirmed {
    const { version } = state;
    const plan = this.find(state, id);
    if (plan === undefined) return { outcome: this.#completed.find(id) ?? { outcome: 'unknown', version } };
    if (plan.outcome !== undefined) return { outcome: plan.outcome };
    if (plan.base !== version || plan.next === undefined) return { outcome: this.#complete(plan, { outcome: 'conflict', version }) };
    // The plan stays open: the operator may still acknowledge.
    const needsAcknowledgement = plan.effects.some((effect) => effect.needsAcknowledgement);
    if (!acknowledged && needsAcknowledgement) return { outcome: { outcome: 'unacknowledged', version } };
    const { next, differences } = plan;
    const outcome = this.#complete(plan, { outcome: 'confirmed', version: version + 1 });
    return { outcome, accepted: { next, differences } };
  }

  /** Completes every open plan as a conflict, since a version that none of them builds on is in force now. */
  completeOpen({ plans, version }: ConfigurationState): void {
    const conflict = { outcome: 'conflict' as const, version };
    for (const plan of plans) if (plan.outcome === undefined) this.#complete(plan, conflict);
  }

  snapshot(): ReturnType<CompletedPlans['snapshot']> {
    return this.#completed.snapshot();
  }

  restore(raw: Parameters<CompletedPlans['restore']>[0]): void {
    this.#completed.restore(raw);
  }

  /** Keeps the outcome and drops the document, which is large. */
  #complete(plan: Plan, outcome: PlanOutcome): PlanOutcome {
    plan.outcome = outcome;
    plan.next = undefined;
    this.#completed.add(plan.id, outcome);
    return outcome;
  }
}
