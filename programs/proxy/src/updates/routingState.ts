import * as v from 'valibot';
import { ShardMap } from '@pewterlanding/consensus';
import {
  allowsReplica,
  SingletonRole,
  FreshnessGrant,
  updateKeys,
  Replica,
  LearnedServiceStatistics,
  ClockReading,
  InFlightByReplica,
} from '@pewterlanding/agent';
import { StateTable, NodeRecord, UpdateReader } from '@pewterlanding/membership';
import type { Update } from '@pewterlanding/membership';
import { entriesOf, VersionedConfiguration } from '@pewterlanding/model';
import type { NodeName, Configuration } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { QuotaTree } from '@pewterlanding/rate-limit';
import type { ReplicaRow } from '../routing/replicaRow.js';
import { replicaKey } from '../routing/replicaKey.js';
import type { Tables } from '../routing/tables.js';
import { RouteTable } from '../routing/routeTable.js';

interface RoutingStateOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly clock: Clock;
}

/** Of the silence after which a replica is gone: from then on it is only a last resort. */
const lateRatio = 0.4;

/** What a proxy makes of the news its agent feeds it: the tables, and how fresh they are. */
export class RoutingState {
  readonly stateTable = new StateTable();
  readonly #options: RoutingStateOptions;
  readonly #toldMs = new Map<string, number>();
  readonly #shards = new UpdateReader((value) => ShardMap.read(value));
  readonly #singletonRole = UpdateReader.of(SingletonRole);
  readonly #use = UpdateReader.of(InFlightByReplica);
  readonly #nodeRecord = UpdateReader.of(NodeRecord);
  readonly #replica = UpdateReader.of(Replica);
  readonly #knowledge = UpdateReader.of(LearnedServiceStatistics);
  #tables: Tables = {
    version: 0,
    configuration: undefined,
    tree: new QuotaTree(new Map()),
    routeTable: new RouteTable(undefined),
    replicas: new Map(),
    shards: ShardMap.empty(),
    singletonRole: undefined,
    fronts: 1,
    outputTokens: new Map(),
  };
  /** Tasks that other fronts have under way, by replica address. */
  readonly #others = new Map<string, number>();
  /** What each other front that is here adds to that. */
  readonly #uses = new Map<string, InFlightByReplica>();
  #silent: ReadonlySet<string> = new Set();
  #freshFromMs = Number.NEGATIVE_INFINITY;
  #newestVersion = Number.POSITIVE_INFINITY;

  constructor(options: RoutingStateOptions) {
    this.#options = options;
  }

  get tables(): Tables {
    return this.#tables;
  }

  /** Lives that controllers call silent. */
  get silent(): ReadonlySet<string> {
    return this.#silent;
  }

  clockReading(): ClockReading {
    return { instance: this.#options.instance, atMs: this.#options.clock.nowMs() };
  }

  /**
   * True while no later version can have been confirmed without this proxy. Asked by the monotonic clock before each task.
   * Under a joining setup a front that is out of touch serves on by what it knows: nothing forbids that to a machine that
   * cannot hear, and its callers have nobody else. Only a version that it knows to be older than another it holds back.
   */
  isFresh(): boolean {
    const { configuration, version } = this.#tables;
    if (configuration === undefined) return false;
    if (configuration.joining && this.#newestVersion === Number.POSITIVE_INFINITY) return true;
    if (version < this.#newestVersion) return false;
    if (configuration.joining) return true;
    return this.#options.clock.nowMs() - this.#freshFromMs <= configuration.bounds.freshnessMs;
  }

  /** The earlier name of `isFresh`, until the forwarding folder calls it by the new one. */
  fresh(): boolean {
    return this.isFresh();
  }

  take(all: readonly Update[]): void {
    // A change on a version that is not held here is left out; the agent sees it by the checksum and feeds the whole.
    const fresh = all.flatMap((sent) => {
      const update = this.stateTable.whole(sent);
      return update !== 'unknown' && this.stateTable.put(update) ? [update] : [];
    });
    for (const update of fresh) {
      if (update.key === updateKeys.fresh) this.#takeFresh(update);
      for (const kind of [updateKeys.uses, updateKeys.nodes])
        if (update.key.startsWith(kind)) this.#countUse(update.key.slice(kind.length));
      if (update.key.startsWith(updateKeys.replicas)) this.#toldMs.set(update.key, this.#options.clock.nowMs());
    }
    if (fresh.some((update) => update.key !== updateKeys.fresh)) this.rebuild();
  }

  /** Whether a replica fell silent without a word. One that said that it leaves still finishes what it has. */
  gone(service: string, address: string): boolean {
    const key = updateKeys.replica(service, address);
    const failureTimeoutMs = this.#tables.configuration?.bounds.replicaFailureTimeoutMs;
    if (this.#replica.read(this.stateTable.get(key))?.state !== 'serving' || failureTimeoutMs === undefined) return false;
    const now = this.#options.clock.nowMs();
    return now - (this.#toldMs.get(key) ?? now) > failureTimeoutMs;
  }

  /** Slots announced, by service. */
  slots(): ReadonlyMap<string, number> {
    return new Map([...this.#tables.replicas].map(([service, rows]) => [service, rows.reduce((sum, row) => sum + row.replica.slots, 0)]));
  }

  /** Derives the tables anew; also needed as time passes, for silence is no news. */
  rebuild(): void {
    const held = v.safeParse(VersionedConfiguration, this.#changedConfiguration());
    // A version never goes back.
    const newer = held.success && held.output.version > this.#tables.version ? held.output : undefined;
    const configuration = newer?.configuration ?? this.#tables.configuration;
    const shards = this.#shards.read(this.stateTable.get(ShardMap.key)) ?? this.#tables.shards;
    this.#tables = {
      version: newer?.version ?? this.#tables.version,
      configuration,
      tree: newer === undefined ? this.#tables.tree : new QuotaTree(new Map(entriesOf(newer.configuration.quotas))),
      routeTable: newer === undefined ? this.#tables.routeTable : new RouteTable(newer.configuration),
      replicas: configuration === undefined ? new Map() : this.#replicas(configuration),
      shards: shards.version >= this.#tables.shards.version ? shards : this.#tables.shards,
      singletonRole: this.#singletonRole.read(this.stateTable.get(updateKeys.singletonRole('dispatch'))),
      fronts: this.#uses.size + 1,
      outputTokens: this.#outputTokens(),
    };
  }

  /** Why an announcement is not taken, if it is not. */
  objection(replica: Replica): 'unknown service' | 'not allowed' | 'stale incarnation' | undefined {
    const rule = this.#tables.configuration?.services[replica.service];
    if (rule === undefined) return 'unknown service';
    if (!allowsReplica(rule, replica)) return 'not allowed';
    const known = this.stateTable.get(updateKeys.replica(replica.service, replicaKey(replica)));
    const ended = this.#knowledge.read(this.stateTable.get(updateKeys.service(replica.service)));
    if (ended !== undefined && replica.incarnation <= (ended.left[replica.address] ?? -1) && replica.state === 'serving')
      return 'stale incarnation';
    if (known === undefined) return undefined;
    const before = this.#replica.read(known);
    const over = before?.state === 'leaving' && replica.state === 'serving' && replica.incarnation <= known.version[0];
    return replica.incarnation < known.version[0] || over ? 'stale incarnation' : undefined;
  }

  /** Parsing a large setup for every announcement would be waste: only a newer one is read. */
  #changedConfiguration(): unknown {
    const update = this.stateTable.get(updateKeys.configuration);
    return update !== undefined && update.version[0] > this.#tables.version ? update.value : undefined;
  }

  #takeFresh(update: Update): void {
    const read = v.safeParse(FreshnessGrant, update.value);
    if (!read.success) return;
    const { version } = read.output;
    const own = v.safeParse(ClockReading, update.byNode?.[this.#options.front]);
    const clockReading = own.success ? own.output : undefined;
    // A stamp of an earlier life was made by another clock.
    if (clockReading === undefined || clockReading.instance !== this.#options.instance) return;
    this.#newestVersion = version;
    this.#freshFromMs = Math.max(this.#freshFromMs, clockReading.atMs);
  }

  /** Keeps the sums of others' use, which would cost fronts x replicas anew at every feed. A front that is away uses nothing. */
  #countUse(front: string): void {
    if (front === this.#options.front) return;
    for (const [address, running] of Object.entries(this.#uses.get(front) ?? {})) this.#add(address, -running);
    this.#uses.delete(front);
    const use = this.#use.read(this.stateTable.get(updateKeys.use(front)));
    const state = this.#nodeRecord.read(this.stateTable.get(updateKeys.node(front)))?.state ?? 'here';
    if (use === undefined || state !== 'here') return;
    for (const [address, running] of Object.entries(use)) this.#add(address, running);
    this.#uses.set(front, use);
  }

  #add(address: string, running: number): void {
    const sum = (this.#others.get(address) ?? 0) + running;
    if (sum > 0) this.#others.set(address, sum);
    else this.#others.delete(address);
  }

  #replicas(configuration: Configuration): ReadonlyMap<string, readonly ReplicaRow[]> {
    const now = this.#options.clock.nowMs();
    const rows = new Map<string, ReplicaRow[]>();
    const silent = new Set<string>();
    for (const update of this.stateTable.withPrefix(updateKeys.replicas)) {
      const replica = this.#replica.read(update);
      if (replica?.state === 'silent') silent.add(replicaKey(replica));
      if (replica?.state !== 'serving') continue;
      const rule = configuration.services[replica.service];
      // Routed only to what is in both: the durable setup and the soft announcements.
      if (rule === undefined || !allowsReplica(rule, replica)) continue;
      // Lives are heard by controllers, which tell of those that fall silent: that this front hears nothing new of one says nothing.
      const silentMs = replica.instance === undefined ? now - (this.#toldMs.get(update.key) ?? now) : 0;
      if (silentMs > configuration.bounds.replicaFailureTimeoutMs) continue;
      const list = rows.get(replica.service) ?? [];
      rows.set(replica.service, list);
      list.push({
        replica,
        others: this.#others.get(replica.address) ?? 0,
        late: silentMs > configuration.bounds.replicaFailureTimeoutMs * lateRatio,
      });
    }
    this.#silent = silent;
    return rows;
  }

  #outputTokens(): ReadonlyMap<string, number> {
    const learned = new Map<string, number>();
    for (const update of this.stateTable.withPrefix(updateKeys.service(''))) {
      const outputTokens = this.#knowledge.read(update)?.outputTokens;
      if (outputTokens !== undefined) learned.set(update.key.slice(updateKeys.service('').length), outputTokens);
    }
    return learned;
  }
}
