import * as v from 'valibot';
import { PlanId } from '@pewterlanding/model';
import { Proposal } from '@pewterlanding/controller';
import type { OperatorApi } from '@pewterlanding/controller';
import type { SimFleet } from './simFleet.js';

const Named = v.record(v.string(), v.unknown());
/** What of a planned configuration its callers would notice. */
const Allowed = v.object({ services: Named, quotas: Named, bounds: v.object({ maxItems: v.number() }) });

/** Changes and reads the configuration of a simulated fleet through its operator API, and records the results in the history. */
export class SimConfigurationClient {
  readonly #fleet: SimFleet;
  #plans = 0;

  constructor(fleet: SimFleet) {
    this.#fleet = fleet;
  }

  /** Plans and confirms at a controller that is awake. */
  async change(proposal: Record<string, unknown>, at?: string): Promise<string> {
    const operatorApi = this.#operatorApi(at);
    if (operatorApi === undefined) return 'nobody';
    this.#plans += 1;
    const id = v.parse(PlanId, `plan-${this.#plans}`);
    try {
      const made = await operatorApi.plan(id, v.parse(Proposal, proposal));
      if (made.plan === undefined) return 'findings';
      this.#notePlan(id, made.plan);
      const { outcome, inForce } = await operatorApi.confirm(id, true);
      const atMs = this.#fleet.time.nowMs;
      if (outcome.outcome === 'confirmed') this.#fleet.note({ type: 'confirmed', atMs, plan: id, version: outcome.version, inForce });
      else this.#fleet.note({ type: 'rejected', atMs, plan: id });
      return outcome.outcome;
    } catch {
      // The change may have been confirmed or not, so no rule judges it.
      return 'unknown';
    }
  }

  /** Reads the configuration back, as an operator would after a fault. */
  async read(at?: string): Promise<void> {
    const fleet = this.#fleet;
    const askedMs = fleet.time.nowMs;
    const read = await this.#operatorApi(at)
      ?.configuration()
      .catch(() => undefined);
    if (read === undefined) return;
    fleet.note({
      type: 'configurationRead',
      askedMs,
      atMs: fleet.time.nowMs,
      version: read.version,
      revision: read.configuration?.revision,
      plans: read.history.map((entry) => entry.plan),
    });
  }

  #notePlan(id: PlanId, plan: { readonly base: number; readonly next?: unknown }): void {
    const next = v.safeParse(Allowed, plan.next);
    this.#fleet.note({
      type: 'planned',
      atMs: this.#fleet.time.nowMs,
      plan: id,
      base: plan.base,
      services: next.success ? Object.keys(next.output.services) : [],
      quotas: next.success ? Object.keys(next.output.quotas) : [],
      maxItems: next.success ? next.output.bounds.maxItems : undefined,
    });
  }

  /** Any controller that runs and is awake, or the named one. */
  #operatorApi(at: string | undefined): OperatorApi | undefined {
    const { random } = this.#fleet;
    const controllers = this.#fleet
      .named('controller')
      .filter((host) => host.process?.operatorApi !== undefined && !host.machine.frozen && (at === undefined || host.machine.name === at));
    return controllers[Math.floor(random() * controllers.length)]?.process?.operatorApi;
  }
}
