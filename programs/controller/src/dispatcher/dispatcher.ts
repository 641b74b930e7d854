import type { QuotaName, NodeName, Configuration, VersionedConfiguration } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { entriesOf } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import type { QuotaRequest, QuotaGrant, Settlement } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import { QuotaTree, Counter, fleetCeiling } from '@pewterlanding/rate-limit';
import type { Balances, QuotaView, CounterRules } from '@pewterlanding/rate-limit';
import { leaseKey } from '@pewterlanding/store';
import type { ItemRef, Lease, OpenLease, QueuedItem } from '@pewterlanding/store';
import { selectItems } from './selectItems.js';
import { fleetView } from './fleetView.js';
import { LeaseWatch } from './leaseWatch.js';
import { batchConcurrencyLimit } from './batchConcurrencyLimit.js';
import { batchCapacity } from './batchCapacity.js';
import type { BatchShardClient } from './batchShardClient.js';
import { assignItems } from './assignItems.js';
import { sendLeases } from './sendLeases.js';
import { UsageLearner } from './usageLearner.js';

interface DispatcherOptions {
  readonly term: number;
  /** What the counter of the epoch before held, when its holder let the duty go politely. */
  readonly balances?: Balances | undefined;
  /** Asked before every act: the epoch under which this node may still act. */
  readonly current: () => number | undefined;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly batches: BatchShardClient;
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
}

interface Seen {
  readonly shard: string;
  readonly items: readonly QueuedItem[];
  readonly open: readonly OpenLease[];
  readonly waiting: Readonly<Record<string, number>>;
}

interface FrontWord {
  readonly atMs: number;
  readonly live: QuotaRequest['live'];
  readonly leases: ReadonlySet<string>;
}

const minLook = 8;
const forgetRatio = 0.02;
/** A ceiling that is worked out follows the slots when they have moved by more than this. */
const notableRatio = 0.1;
/** A front's slice is kept back sooner than the front, after one silence, begins to spend it. */
const unheardRatio = 0.75;

/** The dispatcher's duty under one epoch: the counter, and a tick that claims, reserves and leases. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #stop: () => void;
  readonly #fronts = new Map<NodeName, FrontWord>();
  readonly #fenced = new Set<string>();
  readonly #watch: LeaseWatch;
  #counter: Counter | undefined;
  #shaped: Configuration | undefined;
  #number = 0;
  /** How far down each line a tick looks: twice what the last one claimed, so that it follows the load in a few ticks. */
  #look = minLook;
  readonly #usage: UsageLearner;
  #slotsOf = new Map<string, number>();
  #forgotMs: number;
  #waiting: Record<string, number> = {};

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#watch = new LeaseWatch(options.failureTimeoutMs);
    this.#usage = new UsageLearner(options.membership, options.term);
    this.#forgotMs = options.clock.nowMs();
    this.#shape();
    if (options.balances !== undefined) {
      this.#counter?.adopt(options.balances, options.clock.nowMs());
      options.counters.add('dispatch.adopted');
    }
    const tickMs = options.configuration()?.configuration.bounds.tickMs ?? options.failureTimeoutMs / 4;
    this.#stop = every(options.clock, tickMs, () => this.tick());
  }

  /** Items waiting by branch, as of the last tick. */
  get waiting(): Readonly<Record<string, number>> {
    return this.#waiting;
  }

  view(): readonly QuotaView[] {
    return this.#counter?.view() ?? [];
  }

  /** What is left, for the next holder; nothing is granted from now on. */
  balances(): Balances | undefined {
    return this.#counter?.balances(this.#options.clock.nowMs());
  }

  close(): void {
    this.#stop();
  }

  draw(quotaRequest: QuotaRequest): QuotaGrant {
    const now = this.#options.clock.nowMs();
    this.#shape();
    const counter = this.#counter;
    this.#fronts.set(quotaRequest.front, { atMs: now, live: quotaRequest.live, leases: new Set(quotaRequest.leases) });
    counter?.heard(quotaRequest.front, now);
    counter?.watch(now);
    for (const { quota, returned } of quotaRequest.returned) counter?.correct(quota, returned);
    const granted = quotaRequest.requested.map(({ quota, desired, minimum }) => ({
      quota,
      ...(counter?.draw(quota, desired, minimum, now) ?? {
        granted: { requests: 0, tokens: 0 },
        retryAfterMs: this.#options.failureTimeoutMs,
      }),
    }));
    return { term: this.#options.term, granted };
  }

  settle(settled: readonly Settlement[]): void {
    for (const one of settled) {
      const id = LeaseWatch.idOf(one);
      if (one.ran) this.#counter?.settle(id, one.tokens);
      else this.#counter?.refund(id);
      // An opaque item's stated tokens say nothing of what was put out.
      if (one.ran && one.outputTokens > 0) this.#usage.learn(one);
    }
  }

  async tick(): Promise<void> {
    const { membership, counters } = this.#options;
    const pools = fleetView(membership);
    this.#shape(pools);
    const { configuration, version } = this.#options.configuration() ?? {};
    const counter = this.#counter;
    if (configuration === undefined || version === undefined || counter === undefined || this.#over()) return;
    const shards = Array.from({ length: configuration.batchShards }, (_, shard) => `lots-${shard}`);
    const cap = batchConcurrencyLimit(configuration, pools);
    // A shard whose leader is being replaced must not hold up the others' work.
    const waitMs = configuration.bounds.tickMs * 2;
    const looks = await Promise.all(shards.map((shard) => this.#see(shard, Math.min(cap, this.#look), waitMs)));
    if (this.#over()) return;
    const seen = looks.flatMap((one) => (one === undefined ? [] : [{ ...one, ...assignItems(one, configuration, version) }]));
    await this.#abandon(seen, version);
    counters.add('dispatch.ticks');
    this.#waiting = sum(seen.map((one) => one.waiting));
    counter.tick(
      new Set([
        ...new Map(entriesOf<QuotaName, number>(this.#waiting)).keys(),
        ...seen.flatMap((one) => one.items.map((item) => item.quota)),
      ]),
      this.#options.clock.nowMs(),
    );
    this.#reconcile(seen, shards);
    await this.#recover(seen, configuration);
    await this.#forget(shards, configuration);
    const fronts = membership.live().filter((nodeRecord) => nodeRecord.role === 'agent' && this.#heard(nodeRecord.name));
    // A shard not seen may hold leases nobody counted; the others go on within what is known.
    if (fronts.length === 0 || this.#over()) return;
    await Promise.all(
      this.#claims(
        seen,
        configuration,
        counter,
        pools,
        fronts.map((nodeRecord) => nodeRecord.name),
      ).map((claim) => this.#lease(claim, configuration, counter)),
    );
  }

  #over(): boolean {
    return this.#options.current() !== this.#options.term;
  }

  #heard(front: NodeName): boolean {
    const word = this.#fronts.get(front);
    return word !== undefined && this.#options.clock.nowMs() - word.atMs < this.#options.failureTimeoutMs;
  }

  /** Takes a new setup. Where the ceiling is worked out from the slots, the counter follows them, but not every single one. */
  #shape(pools?: ReturnType<typeof fleetView>): void {
    const configuration = this.#options.configuration()?.configuration;
    if (configuration === undefined) return;
    const moved = pools !== undefined && configuration.ceiling === undefined && this.#moved(pools);
    if (configuration === this.#shaped && !moved) return;
    this.#shaped = configuration;
    this.#slotsOf = new Map([...(pools ?? fleetView(this.#options.membership))].map(([service, pool]) => [service, pool.slots]));
    const now = this.#options.clock.nowMs();
    const { waitingRatio, liveRatio, fallbackRatio, fronts } = configuration.bounds;
    const tree = new QuotaTree(new Map(entriesOf(configuration.quotas)));
    const rules: CounterRules = {
      ceiling: fleetCeiling(configuration, this.#slotsOf),
      tree,
      waitingRatio,
      liveRatio,
      fallbackRatio,
      fronts,
      frontSilenceMs: this.#options.failureTimeoutMs * unheardRatio,
    };
    if (this.#counter === undefined) this.#counter = new Counter(rules, now);
    else this.#counter.reshape(rules, now);
  }

  #moved(pools: ReturnType<typeof fleetView>): boolean {
    const names = new Set([...pools.keys(), ...this.#slotsOf.keys()]);
    return [...names].some((name) => {
      const before = this.#slotsOf.get(name) ?? 0;
      return Math.abs((pools.get(name)?.slots ?? 0) - before) > before * notableRatio;
    });
  }

  /** Gives up items whose route this setup does not have any more; the shard checks that it is no older than theirs. */
  async #abandon(seen: readonly { readonly shard: string; readonly gone: readonly ItemRef[] }[], version: number): Promise<void> {
    const { batches, counters } = this.#options;
    await Promise.all(
      seen.map(async ({ shard, gone }) => {
        if (gone.length === 0) return;
        counters.add('dispatch.routeGone', gone.length);
        await batches.change(shard, { kind: 'abandon', refs: [...gone], version }).catch(() => undefined);
      }),
    );
  }

  /** Reads one shard; the first time under this epoch, fences it and takes over what its leases stand for. */
  async #see(shard: string, limit: number, waitMs: number): Promise<Seen | undefined> {
    const { batches, term, counters } = this.#options;
    try {
      if (!this.#fenced.has(shard)) {
        const response = await batches.change(shard, { kind: 'fence', term });
        if (!response.done) return undefined;
      }
      const view = await batches.queued(shard, limit, waitMs);
      if (!this.#fenced.has(shard)) {
        for (const open of view.open) this.#counter?.charge(LeaseWatch.idOf(open), open.quota, { requests: 1, tokens: open.tokens });
        this.#fenced.add(shard);
      }
      return { shard, ...view };
    } catch {
      counters.add('dispatch.partUnseen');
      return undefined;
    }
  }

  /** Forgets reservations whose lease is closed and whose settlement was lost: what was estimated counts as used. */
  #reconcile(seen: readonly Seen[], shards: readonly string[]): void {
    if (seen.length < shards.length) return;
    const open = new Set(seen.flatMap((one) => one.open.map((lease) => LeaseWatch.idOf(lease))));
    for (const id of this.#counter?.open() ?? []) if (!open.has(id)) this.#counter?.forget(id);
    this.#watch.keep(open);
  }

  /** Stale leases go back; items whose front is lost run again if they may. */
  async #recover(seen: readonly Seen[], configuration: Configuration): Promise<void> {
    const { clock, batches, counters } = this.#options;
    const now = clock.nowMs();
    const lost = seen.flatMap(({ shard, open }) =>
      open.flatMap((lease) => (this.#watch.overdue(lease, this.#stateOf(lease), configuration, now) ? [{ shard, lease }] : [])),
    );
    await Promise.all(
      lost.map(async ({ shard, lease }) => {
        counters.add(lease.started ? 'dispatch.lost' : 'dispatch.stale');
        const response = await batches.change(shard, { kind: 'lost', ref: lease.ref, lease: lease.lease }).catch(() => undefined);
        if (response?.done === true && !lease.started) this.#counter?.refund(LeaseWatch.idOf(lease));
      }),
    );
  }

  /** Now and then, finished lots that were kept long enough go. */
  async #forget(shards: readonly string[], configuration: Configuration): Promise<void> {
    const { clock, batches } = this.#options;
    const { batchKeepMs } = configuration.bounds;
    if (clock.nowMs() - this.#forgotMs < batchKeepMs * forgetRatio) return;
    this.#forgotMs = clock.nowMs();
    const beforeMs = clock.wallMs() - batchKeepMs;
    await Promise.all(shards.map((shard) => batches.change(shard, { kind: 'forget', beforeMs }).catch(() => undefined)));
  }

  /** A lease is lost when its front is gone, or is heard and does not hold it: that front began a new life, or never got it. */
  #stateOf({ lease, started }: OpenLease): 'waits' | 'lost' | 'runs' {
    if (this.#options.membership.nodeRecord(lease.front) === undefined) return 'lost';
    const word = this.#fronts.get(lease.front);
    if (this.#heard(lease.front) && word?.leases.has(leaseKey(lease)) === false) return 'lost';
    return started ? 'runs' : 'waits';
  }

  /** What this tick claims, by part. */
  #claims(
    seen: readonly Seen[],
    configuration: Configuration,
    counter: Counter,
    pools: ReturnType<typeof fleetView>,
    fronts: readonly NodeName[],
  ) {
    const now = this.#options.clock.nowMs();
    const cap = batchConcurrencyLimit(configuration, pools);
    const poolOf = (service: string): string => pools.get(service)?.name ?? service;
    const live = this.#live();
    const out = new Map<string, number>();
    const outOf = new Map<QuotaName, number>();
    const weight = new Map(fronts.map((front) => [front, 0]));
    for (const { open } of seen) {
      for (const lease of open) {
        out.set(poolOf(lease.service), (out.get(poolOf(lease.service)) ?? 0) + 1);
        outOf.set(lease.quota, (outOf.get(lease.quota) ?? 0) + 1);
        weight.set(lease.lease.front, (weight.get(lease.lease.front) ?? 0) + 1);
      }
    }
    const total = [...out.values()].reduce((all, one) => all + one, 0);
    const chosen = selectItems({
      items: seen.flatMap(({ shard, items }) =>
        items.map((item) => ({
          ...item,
          shard,
          // What is dearer than its branch can ever hold costs all that it can hold: an opaque lot that was taken must run.
          tokens: item.route === undefined ? item.tokens : Math.min(item.tokens, counter.maxTokens(item.quota)),
        })),
      ),
      out: outOf,
      share: (quota) => counter.shareOf(quota),
      poolOf,
      roomOf: (service) =>
        batchCapacity(pools.get(service)?.slots ?? 0, live.get(service) ?? 0, out.get(poolOf(service)) ?? 0, {
          ...configuration.bounds,
          batchConcurrencyLimit: cap,
        }),
      capacity: (quota, tokens) => counter.capacity(quota, { requests: 1, tokens }, now),
      gap: Math.max(0, cap - total),
    });
    this.#look = minLook + chosen.length * 2;
    const claims = new Map<string, { readonly item: QueuedItem; readonly lease: Lease }[]>();
    for (const item of chosen) {
      const front = fronts.reduce((best, next) => ((weight.get(next) ?? 0) < (weight.get(best) ?? 0) ? next : best));
      weight.set(front, (weight.get(front) ?? 0) + 1);
      this.#number += 1;
      const claim = claims.get(item.shard) ?? [];
      claims.set(item.shard, claim);
      const { shard: _part, ...queued } = item;
      claim.push({ item: queued, lease: { term: this.#options.term, number: this.#number, front } });
    }
    return [...claims].map(([shard, items]) => ({ shard, items }));
  }

  /** Claims at the shard, reserves each claimed item, and sends those reserved to their fronts. */
  async #lease(
    claim: { readonly shard: string; readonly items: readonly { readonly item: QueuedItem; readonly lease: Lease }[] },
    configuration: Configuration,
    counter: Counter,
  ): Promise<void> {
    const { batches, term, clock, counters } = this.#options;
    const { shard } = claim;
    const response = await batches
      .change(shard, { kind: 'claim', term, claims: claim.items.map(({ item, lease }) => ({ ref: item.ref, lease })) })
      .catch(() => undefined);
    if (response?.claimed === undefined || this.#over()) return;
    const got = new Set(response.claimed.map((ref) => `${ref.batch} ${ref.position}`));
    const reserved: { readonly item: QueuedItem; readonly lease: Lease }[] = [];
    const refused: Promise<unknown>[] = [];
    for (const { item, lease } of claim.items) {
      if (!got.has(`${item.ref.batch} ${item.ref.position}`)) continue;
      counters.add('dispatch.claimed');
      const taken = counter.reserve(
        LeaseWatch.idOf({ ref: item.ref, lease }),
        item.quota,
        { requests: 1, tokens: item.tokens },
        clock.nowMs(),
      );
      if (taken.ok) {
        reserved.push({ item, lease });
        continue;
      }
      counters.add('dispatch.unreserved');
      const waitMs = Math.min(Math.ceil(taken.retryAfterMs / 1000) * 1000, configuration.bounds.requeueCapMs);
      // An opaque item is due by clocks that may step; only the leader's own counts for it.
      const when = item.route === undefined ? { notBeforeMs: clock.wallMs() + waitMs } : { notBeforeMs: 0, waitMs };
      refused.push(
        batches
          .change(shard, { kind: 'release', ref: item.ref, lease, ...when, tried: true, maxAttempts: configuration.bounds.requeueAttempts })
          .catch(() => undefined),
      );
    }
    await Promise.all(refused);
    if (reserved.length > 0) await sendLeases({ ...this.#options, over: () => this.#over() }, shard, reserved);
  }

  #live(): ReadonlyMap<string, number> {
    const live = new Map<string, number>();
    for (const [front, word] of this.#fronts) {
      if (!this.#heard(front)) continue;
      for (const { service, running, waiting } of word.live) live.set(service, (live.get(service) ?? 0) + running + waiting);
    }
    return live;
  }
}

function sum(all: readonly Readonly<Record<string, number>>[]): Record<string, number> {
  const total: Record<string, number> = {};
  for (const one of all) for (const [key, value] of Object.entries(one)) total[key] = (total[key] ?? 0) + value;
  return total;
}
