import * as v from 'valibot';
import { check, configurationFormat1, mergePatch, renameFields } from '@pewterlanding/model';
import { views } from '@pewterlanding/pewterctl';
import { HarnessError } from '../errors/index.js';
import type { HistoryEvent } from '../history/index.js';
import type { Fleet } from './fleet.js';

const Named = v.record(v.string(), v.unknown());
/** What of a configuration its callers would notice. */
const Allowed = v.object({ services: Named, quotas: Named, bounds: v.optional(v.object({ maxItems: v.optional(v.number()) }), {}) });

/** An operator of a real fleet, who writes down what was planned, confirmed, refused and read back. */
export class Operator {
  readonly #fleet: Fleet;
  readonly #note: (historyEvent: HistoryEvent) => void;

  constructor(fleet: Fleet, note: (historyEvent: HistoryEvent) => void) {
    this.#fleet = fleet;
    this.#note = note;
  }

  async configuration(): Promise<Record<string, unknown>> {
    const read = check(views.configuration, (await this.#fleet.controller('GET', '/v1/configuration')).body);
    if (!read.ok) throw new HarnessError('the configuration cannot be read');
    return read.value.configuration ?? {};
  }

  /** Plans a part of a configuration and confirms it; the version in force, or undefined when it was refused or nothing is known. */
  async change(part: Record<string, unknown>): Promise<number | undefined> {
    const before = await this.configuration();
    const made = await this.#fleet.controller('POST', '/v1/plans', { part });
    const plan = check(views.plan, made.body);
    if (!plan.ok) throw new HarnessError(`no plan: ${JSON.stringify(made)}`);
    return this.#confirm(plan.value, mergePatch(before, renameFields(part, configurationFormat1)));
  }

  /** The first configuration of a fleet, whole. */
  async first(whole: Readonly<Record<string, unknown>>): Promise<number | undefined> {
    const made = await this.#fleet.controller('POST', '/v1/plans', { whole });
    const plan = check(views.plan, made.body);
    if (!plan.ok) throw new HarnessError(`no plan: ${JSON.stringify(made)}`);
    return this.#confirm(plan.value, whole);
  }

  /** Reads back version and history; what is read is written down. */
  async readBack(): Promise<void> {
    const askedMs = Date.now();
    try {
      const configuration = check(views.configuration, (await this.#fleet.controller('GET', '/v1/configuration')).body);
      const history = check(views.history, (await this.#fleet.controller('GET', '/v1/configuration/history')).body);
      if (!configuration.ok || !history.ok) return;
      const { version } = configuration.value;
      this.#note({ type: 'configurationRead', askedMs, atMs: Date.now(), version, plans: history.value.history.map((one) => one.plan) });
    } catch {
      // The controller is away: nothing was read, and nothing is written down.
    }
  }

  async #confirm({ id: plan, base }: { readonly id: string; readonly base: number }, next: unknown): Promise<number | undefined> {
    const allowed = v.parse(Allowed, renameFields(next, configurationFormat1));
    const { services, quotas, bounds } = allowed;
    this.#note({
      type: 'planned',
      atMs: Date.now(),
      plan,
      base,
      services: Object.keys(services),
      quotas: Object.keys(quotas),
      maxItems: bounds.maxItems ?? 1000,
    });
    const response = await this.#fleet.controller('POST', `/v1/plans/${plan}/confirm`, { acknowledged: true }).catch(() => undefined);
    const outcome = check(views.outcome, response?.body);
    if (response === undefined || !outcome.ok) return undefined;
    const { version } = outcome.value;
    if (response.status === 200 || response.status === 504)
      this.#note({ type: 'confirmed', atMs: Date.now(), plan, version, inForce: response.status === 200 });
    if (response.status === 409) this.#note({ type: 'rejected', atMs: Date.now(), plan });
    return response.status === 200 ? version : undefined;
  }
}
