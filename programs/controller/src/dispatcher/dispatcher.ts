import type { QuotaRequest, QuotaGrant, Settlement } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import type { QuotaName, NodeName, VersionedConfiguration } from '@pewterlanding/model';
import { entriesOf } from '@pewterlanding/model';
import type { Balances, QuotaView } from '@pewterlanding/rate-limit';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { ItemRef } from '@pewterlanding/store';
import { assignItems } from './assignItems.js';
import { batchConcurrencyLimit } from './batchConcurrencyLimit.js';
import { BatchRetention } from './batchRetention.js';
import type { BatchShardClient } from './batchShardClient.js';
import { batchShardNames } from './batchShardNames.js';
import { BatchShardReader } from './batchShardReader.js';
import { ClaimExecutor } from './claimExecutor.js';
import { ClaimPlanner } from './claimPlanner.js';
import { ConfiguredCounter } from './configuredCounter.js';
import { FrontHeartbeats } from './frontHeartbeats.js';
import { LeaseRecovery } from './leaseRecovery.js';
import type { ReplicaPool } from './replicaPool.js';
import { replicaPools } from './replicaPools.js';
import { reservationId } from './reservationId.js';
import type { ShardView } from './shardView.js';
import { sumByQuota } from './sumByQuota.js';
import { UsageLearner } from './usageLearner.js';

interface DispatcherOptions {
  readonly term: number;
  /** The counter's balances under the preceding term, when their holder handed them over. */
  readonly balances?: Balances | undefined;
  /** The term under which this node holds the role now; asked before every step that grants anything. */
  readonly current: () => number | undefined;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly batches: BatchShardClient;
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
}

interface AssignedView extends ShardView {
  readonly gone: readonly ItemRef[];
}

/** Of a failure timeout: the period of the ticks where no configuration is known yet. */
const defaultTickRatio = 1 / 4;
/** A tick waits so many periods for a shard: one whose leader is being replaced must not delay the others. */
const readTimeoutTicks = 2;

/**
 * The dispatcher under one term, after "Rate-limited batch orchestration": the counter of the quotas, and a tick that reads the
 * queues, recovers overdue leases, claims items up to the per-tick bound, reserves for them and leases them to fronts.
 */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #configured: ConfiguredCounter;
  readonly #fronts: FrontHeartbeats;
  readonly #reader: BatchShardReader;
  readonly #recovery: LeaseRecovery;
  readonly #retention: BatchRetention;
  readonly #planner: ClaimPlanner;
  readonly #executor: ClaimExecutor;
  readonly #usage: UsageLearner;
  #stop = (): void => undefined;
  #waiting: Readonly<Record<string, number>> = {};

  constructor(options: DispatcherOptions) {
    const { clock, failureTimeoutMs, membership, term } = options;
    this.#options = options;
    this.#configured = new ConfiguredCounter(options);
    this.#fronts = new FrontHeartbeats(clock, failureTimeoutMs);
    const shared = { ...options, fronts: this.#fronts, counter: () => this.#configured.counter, isOver: () => this.#isOver() };
    this.#reader = new BatchShardReader(shared);
    this.#recovery = new LeaseRecovery(shared);
    this.#retention = new BatchRetention(clock, options.batches);
    this.#planner = new ClaimPlanner(shared);
    this.#executor = new ClaimExecutor(shared);
    this.#usage = new UsageLearner(membership, term);
  }

  /** Takes over the balances that were handed over, if any, and starts the ticks. */
  start(): void {
    const { balances, clock, counters, configuration, failureTimeoutMs } = this.#options;
    this.#configured.refresh();
    if (balances !== undefined) {
      this.#configured.counter?.adopt(balances, clock.nowMs());
      counters.add('dispatch.adopted');
    }
    const tickMs = configuration()?.configuration.bounds.tickMs ?? failureTimeoutMs * defaultTickRatio;
    this.#stop = every(clock, tickMs, () => this.#tick());
  }

  /** Queued items by quota, as of the last tick. */
  get waiting(): Readonly<Record<string, number>> {
    return this.#waiting;
  }

  /** The balances and the use of each quota, for operators; empty until a configuration is known. */
  view(): readonly QuotaView[] {
    return this.#configured.counter?.view() ?? [];
  }

  /** The counter's balances for the next holder; to be read once nothing is granted any more. */
  balances(): Balances | undefined {
    return this.#configured.counter?.balances(this.#options.clock.nowMs());
  }

  /** Ends the ticks; one that is under way grants nothing more once the role is lost. */
  close(): void {
    this.#stop();
  }

  /** Grants a front tokens and requests for live work, and takes back what it returns. Serves as the front's heartbeat. */
  draw(request: QuotaRequest): QuotaGrant {
    const nowMs = this.#options.clock.nowMs();
    this.#configured.refresh();
    const { counter } = this.#configured;
    this.#fronts.record(request, nowMs);
    counter?.heard(request.front, nowMs);
    counter?.watch(nowMs);
    for (const { quota, returned } of request.returned) counter?.correct(quota, returned);
    const nothing = { granted: { requests: 0, tokens: 0 }, retryAfterMs: this.#options.failureTimeoutMs };
    const granted = request.requested.map(({ quota, desired, minimum }) => ({
      quota,
      ...(counter?.draw(quota, desired, minimum, nowMs) ?? nothing),
    }));
    return { term: this.#options.term, granted };
  }

  /** Settles the reservations of leases that ended: the tokens used of those that ran, a full refund for the others. */
  settle(settlements: readonly Settlement[]): void {
    const { counter } = this.#configured;
    for (const settlement of settlements) {
      const id = reservationId(settlement);
      if (settlement.ran) counter?.settle(id, settlement.tokens);
      else counter?.refund(id);
      // The declared tokens of an opaque item say nothing of its output.
      if (settlement.ran && settlement.outputTokens > 0) this.#usage.learn(settlement);
    }
  }

  async #tick(): Promise<void> {
    const { membership, counters } = this.#options;
    const pools = replicaPools(membership);
    this.#configured.refresh(pools);
    const versioned = this.#options.configuration();
    const { counter } = this.#configured;
    if (versioned === undefined || counter === undefined || this.#isOver()) return;
    const { configuration } = versioned;
    const shards = batchShardNames(configuration.batchShards);
    const views = await this.#readShards(shards, versioned, pools);
    if (this.#isOver()) return;
    await this.#abandonRouteless(views, versioned.version);
    counters.add('dispatch.ticks');
    this.#waiting = sumByQuota(views.map((view) => view.waiting));
    counter.tick(this.#quotasWithWork(views), this.#options.clock.nowMs());
    // A shard that was not read may hold open leases.
    if (views.length >= shards.length) this.#recovery.dropClosedReservations(views);
    await this.#recovery.requeueOverdue(views, configuration);
    await this.#retention.removeExpired(shards, configuration);
    const fronts = this.#liveFronts();
    if (fronts.length === 0 || this.#isOver()) return;
    const claims = this.#planner.plan({ views, configuration, counter, pools, fronts });
    await Promise.all(claims.map((claim) => this.#executor.execute(claim, configuration, counter)));
  }

  #isOver(): boolean {
    return this.#options.current() !== this.#options.term;
  }

  async #readShards(
    shards: readonly string[],
    { configuration, version }: VersionedConfiguration,
    pools: ReadonlyMap<string, ReplicaPool>,
  ): Promise<readonly AssignedView[]> {
    const limit = Math.min(batchConcurrencyLimit(configuration, pools), this.#planner.readLimit);
    const timeoutMs = configuration.bounds.tickMs * readTimeoutTicks;
    const views = await Promise.all(shards.map((shard) => this.#reader.read(shard, limit, timeoutMs)));
    const read = views.filter((view) => view !== undefined);
    return read.map((view) => ({ ...view, ...assignItems(view, configuration, version) }));
  }

  /** Gives up items whose route the configuration no longer has; the shard refuses if a later configuration is known there. */
  async #abandonRouteless(views: readonly AssignedView[], version: number): Promise<void> {
    const { batches, counters } = this.#options;
    await Promise.all(
      views.map(async ({ shard, gone }) => {
        if (gone.length === 0) return;
        counters.add('dispatch.routeGone', gone.length);
        await batches.change(shard, { kind: 'abandon', refs: [...gone], version }).catch(() => undefined);
      }),
    );
  }

  #quotasWithWork(views: readonly ShardView[]): ReadonlySet<QuotaName> {
    const quotas = new Set(entriesOf<QuotaName, number>(this.#waiting).map(([quota]) => quota));
    for (const { items } of views) for (const item of items) quotas.add(item.quota);
    return quotas;
  }

  #liveFronts(): readonly NodeName[] {
    const live = this.#options.membership.live().filter(({ role, name }) => role === 'agent' && this.#fronts.isLive(name));
    return live.map(({ name }) => name);
  }
}
