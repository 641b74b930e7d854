import { SimulationError } from '../errors/index.js';
import { briefBounds, judge } from '../checkers/index.js';
import type { Violation, Verdict } from '../checkers/index.js';
import { Disruption } from './disruption.js';
import { SimEnvironment } from './simEnvironment.js';
import { SimOperators } from './simOperators.js';

interface Outcome {
  readonly verdicts: readonly Verdict[];
  /** Of all rules, each with its rule. */
  readonly violations: readonly (Violation & { readonly rule: string })[];
  /** Batches of before the repair that did not come to an end by the end of the day. */
  readonly unfinished: number;
  readonly told: Readonly<Record<string, number>>;
  readonly events: number;
  readonly messages: number;
}

/** One simulated day: starts the fleet, leaves the rest to faults and scenarios, and judges the history at the end. */
export class SimRun extends SimEnvironment {
  readonly operators = new SimOperators(this);
  readonly disruption = new Disruption(this, this.operators);

  /** From empty disks to a fleet under traffic, or at rest. */
  async begin(traffic = true): Promise<void> {
    for (const name of this.fleet.hosts.keys()) this.fleet.start(name);
    await this.fleet.time.runTo(4000);
    this.fleet.bootstrap = false;
    const first = this.changeConfiguration({ whole: this.configuration });
    await this.fleet.time.runTo(8000);
    if ((await first) !== 'confirmed') throw new SimulationError('the first setup was not confirmed');
    for (const replica of this.fleet.replicas.values()) this.fleet.startReplica(replica, () => this.traffic.front().proxy);
    await this.fleet.time.runTo(10_000);
    if (traffic) this.traffic.start();
    await this.fleet.time.runTo(20_000);
  }

  /**
   * Repairs what can be repaired, lets the fleet recover, judges the history. `takeoverMs` bounds how long a batch may not be read,
   * `itemStartMs` how long an accepted item may wait for its start.
   */
  async finish(takeoverMs = briefBounds.recoveryMs, itemStartMs?: number): Promise<Outcome> {
    const { fleet } = this;
    this.#repair();
    const repairedMs = fleet.time.nowMs;
    fleet.note({ type: 'repaired', atMs: repairedMs });
    await this.advance(8000);
    const read = this.readConfiguration();
    await this.advance(8000);
    await this.advanceUntilSettled(read, 20_000).catch(() => undefined);
    this.operators.stop();
    this.traffic.stop();
    await this.advance(2000);
    const verdicts = judge(fleet.history, { ...briefBounds, takeoverMs, itemStartMs, shares: this.#shares() });
    return {
      verdicts,
      violations: verdicts.flatMap(({ rule, violations }) => violations.map((violation) => ({ ...violation, rule }))),
      unfinished: this.traffic.unfinished(repairedMs),
      told: this.#outcomeCounts(),
      events: fleet.time.events,
      messages: fleet.net.messages,
    };
  }

  /** Ends every fault that is still in effect and starts what is stopped. */
  #repair(): void {
    const { fleet } = this;
    fleet.net.heal();
    for (const host of fleet.hosts.values()) {
      host.disk.mend();
      host.machine.wake();
      host.machine.slowRatio = 1;
      if (host.process === undefined) fleet.start(host.machine.name);
    }
    for (const replica of fleet.replicas.values()) {
      replica.machine.wake();
      replica.fault = undefined;
      replica.claimRatio = 1;
      if (replica.instance.dead || !replica.announcing) fleet.startReplica(replica, () => this.traffic.front().proxy);
    }
  }

  /** How many tasks ended with each outcome. */
  #outcomeCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const event of this.fleet.history) if (event.type === 'told') counts[event.outcome] = (counts[event.outcome] ?? 0) + 1;
    return counts;
  }

  /** What waiting work of each quota may use in a minute. */
  #shares(): ReadonlyMap<string, { readonly requests: number; readonly tokens: number }> {
    const minute = (ratio: number) => ({ requests: this.requestsPerMinute * ratio, tokens: this.requestsPerMinute * ratio * 400 });
    return new Map([
      ['north', minute(0.25)],
      ['south', minute(0.15)],
    ]);
  }
}
