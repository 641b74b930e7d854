import type { Configuration, NodeName, QuotaName } from '@pewterlanding/model';
import type { Counter } from '@pewterlanding/rate-limit';
import type { Clock } from '@pewterlanding/runtime';
import { batchCapacity } from './batchCapacity.js';
import { batchConcurrencyLimit } from './batchConcurrencyLimit.js';
import type { FrontHeartbeats } from './frontHeartbeats.js';
import type { LeasedItem } from './leasedItem.js';
import type { PoolDemand } from './poolDemand.js';
import type { ReplicaPool } from './replicaPool.js';
import { selectItems } from './selectItems.js';
import type { ShardClaim } from './shardClaim.js';
import type { ShardItem } from './shardItem.js';
import type { ShardView } from './shardView.js';

interface ClaimPlannerOptions {
  readonly term: number;
  readonly clock: Clock;
  readonly fronts: FrontHeartbeats;
}

interface PlanningInput {
  readonly views: readonly ShardView[];
  readonly configuration: Configuration;
  readonly counter: Counter;
  readonly pools: ReadonlyMap<string, ReplicaPool>;
  /** The live fronts, at least one. */
  readonly fronts: readonly NodeName[];
}

interface InFlight {
  readonly byPool: Map<string, number>;
  readonly byQuota: Map<QuotaName, number>;
  readonly byFront: Map<NodeName, number>;
}

const minReadLimit = 8;
const noPool = { slots: 0, replicas: 0 };

/** Decides which queued items a tick claims and which front runs each, within the concurrency limit, the pools and the quotas. */
export class ClaimPlanner {
  readonly #options: ClaimPlannerOptions;
  #leases = 0;
  #readLimit = minReadLimit;

  constructor(options: ClaimPlannerOptions) {
    this.#options = options;
  }

  /** Items of each queue that the next tick should read: twice what the last one claimed, so that it follows the load in a few ticks. */
  get readLimit(): number {
    return this.#readLimit;
  }

  /** The claims of one tick by shard, each with a new lease number under the term. */
  plan(input: PlanningInput): readonly ShardClaim[] {
    const inFlight = inFlightOf(input);
    const chosen = this.#select(input, inFlight);
    this.#readLimit = minReadLimit + chosen.length * 2;
    return this.#leaseToFronts(chosen, input.fronts, inFlight.byFront);
  }

  #select({ views, configuration, counter, pools }: PlanningInput, inFlight: InFlight): readonly ShardItem[] {
    const nowMs = this.#options.clock.nowMs();
    const limit = batchConcurrencyLimit(configuration, pools);
    const live = this.#options.fronts.liveRequests();
    const poolOf = (service: string): string => poolName(pools, service);
    const total = [...inFlight.byPool.values()].reduce((sum, one) => sum + one, 0);
    const bounds = { ...configuration.bounds, batchConcurrencyLimit: limit };
    const waited = waitedRatios(views, this.#options.clock.wallMs());
    const demandOf = (service: string): PoolDemand => ({
      ...(pools.get(service) ?? noPool),
      live: live.get(service) ?? 0,
      waitedRatio: waited.get(service) ?? 0,
    });
    const inFlightOfPool = (service: string): number => inFlight.byPool.get(poolOf(service)) ?? 0;
    const capacityOf = (service: string): number => batchCapacity(demandOf(service), inFlightOfPool(service), bounds);
    return selectItems({
      items: queuedItems(views, counter),
      out: inFlight.byQuota,
      share: (quota) => counter.shareOf(quota),
      poolOf,
      roomOf: capacityOf,
      capacity: (quota, tokens) => counter.capacity(quota, { requests: 1, tokens }, nowMs),
      gap: Math.max(0, limit - total),
    });
  }

  /** Each item goes to the front with the fewest leases, the first of them in the order given. */
  #leaseToFronts(chosen: readonly ShardItem[], fronts: readonly NodeName[], inFlightByFront: Map<NodeName, number>): readonly ShardClaim[] {
    const claims = new Map<string, LeasedItem[]>();
    const leasesOf = (front: NodeName): number => inFlightByFront.get(front) ?? 0;
    for (const { shard, ...item } of chosen) {
      const front = fronts.reduce((best, next) => (leasesOf(next) < leasesOf(best) ? next : best));
      inFlightByFront.set(front, leasesOf(front) + 1);
      this.#leases += 1;
      const claim = claims.get(shard) ?? [];
      claims.set(shard, claim);
      claim.push({ item, lease: { term: this.#options.term, number: this.#leases, front } });
    }
    return [...claims].map(([shard, items]) => ({ shard, items }));
  }
}

function inFlightOf({ views, pools }: PlanningInput): InFlight {
  const inFlight: InFlight = { byPool: new Map(), byQuota: new Map(), byFront: new Map() };
  for (const { open } of views) {
    for (const { service, quota, lease } of open) {
      increment(inFlight.byPool, poolName(pools, service));
      increment(inFlight.byQuota, quota);
      increment(inFlight.byFront, lease.front);
    }
  }
  return inFlight;
}

function increment<K>(counts: Map<K, number>, key: K): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** By service, the part of its time until it is due that the item that has waited for most of it has waited. */
function waitedRatios(views: readonly ShardView[], wallMs: number): ReadonlyMap<string, number> {
  const ratios = new Map<string, number>();
  for (const { items } of views)
    for (const { service, queuedAtMs, dueAtMs } of items) {
      const ratio = (wallMs - queuedAtMs) / Math.max(1, dueAtMs - queuedAtMs);
      ratios.set(service, Math.max(ratio, ratios.get(service) ?? 0));
    }
  return ratios;
}

function poolName(pools: ReadonlyMap<string, ReplicaPool>, service: string): string {
  return pools.get(service)?.name ?? service;
}

function queuedItems(views: readonly ShardView[], counter: Counter): readonly ShardItem[] {
  const all: ShardItem[] = [];
  for (const { shard, items } of views) {
    for (const item of items) {
      // An opaque item that costs more than its quota can ever hold is charged all that it can hold: an accepted batch must run.
      const tokens = item.route === undefined ? item.tokens : Math.min(item.tokens, counter.maxTokens(item.quota));
      all.push({ ...item, shard, tokens });
    }
  }
  return all;
}
