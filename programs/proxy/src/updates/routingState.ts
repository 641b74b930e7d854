import { LearnedServiceStatistics, Replica, SingletonRole, updateKeys } from '@pewterlanding/agent';
import type { ClockReading } from '@pewterlanding/agent';
import { ShardMap } from '@pewterlanding/consensus';
import { StateTable, UpdateReader } from '@pewterlanding/membership';
import type { Update } from '@pewterlanding/membership';
import { entriesOf, VersionedConfiguration } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import { QuotaTree } from '@pewterlanding/rate-limit';
import type { Clock } from '@pewterlanding/runtime';
import * as v from 'valibot';
import { replicaKey } from '../routing/replicaKey.js';
import type { ReplicaRow } from '../routing/replicaRow.js';
import { RouteTable } from '../routing/routeTable.js';
import type { Tables } from '../routing/tables.js';
import { AnnouncedReplicas } from './announcedReplicas.js';
import { AnnouncementRules } from './announcementRules.js';
import { Freshness } from './freshness.js';
import { LoadOfOthers } from './loadOfOthers.js';

interface RoutingStateOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly clock: Clock;
}

const emptyTables = (): Tables => ({
  version: 0,
  configuration: undefined,
  tree: new QuotaTree(new Map()),
  routeTable: new RouteTable(undefined),
  replicas: new Map(),
  shards: ShardMap.empty(),
  singletonRole: undefined,
  fronts: 1,
  outputTokens: new Map(),
});

/** The routing tables that a proxy derives from the updates its agent sends, and whether they may be used. */
export class RoutingState {
  readonly stateTable = new StateTable();
  readonly #freshness: Freshness;
  readonly #loadOfOthers: LoadOfOthers;
  readonly #announcedReplicas: AnnouncedReplicas;
  readonly #announcementRules: AnnouncementRules;
  readonly #shards = new UpdateReader((value) => ShardMap.read(value));
  readonly #singletonRole = UpdateReader.of(SingletonRole);
  readonly #statistics = UpdateReader.of(LearnedServiceStatistics);
  #tables: Tables = emptyTables();
  #replicaKeys: ReadonlySet<string> = new Set();

  constructor(options: RoutingStateOptions) {
    const { front, clock } = options;
    const { stateTable } = this;
    this.#freshness = new Freshness(options);
    this.#loadOfOthers = new LoadOfOthers({ front, stateTable });
    const replicaReader = UpdateReader.of(Replica);
    const loadOfOthers = this.#loadOfOthers;
    this.#announcedReplicas = new AnnouncedReplicas({ clock, stateTable, loadOfOthers, replicaReader });
    this.#announcementRules = new AnnouncementRules({ stateTable, replicaReader, statisticsReader: this.#statistics });
  }

  /** Keys of the replicas in the tables: the same set until they are derived anew, not for each change of load. */
  get replicaKeys(): ReadonlySet<string> {
    return this.#replicaKeys;
  }

  /** Replaced as a whole, never changed: what holds one sees one state. */
  get tables(): Tables {
    return this.#tables;
  }

  /** Instances of replicas that controllers report silent, by replica key. */
  get silent(): ReadonlySet<string> {
    return this.#announcedReplicas.silent;
  }

  /** A reading of this proxy's clock, which the next freshness grant answers. */
  clockReading(): ClockReading {
    return this.#freshness.clockReading();
  }

  /** Whether tasks may be routed by the tables. Asked before each task. */
  isFresh(): boolean {
    return this.#freshness.isFresh(this.#tables.configuration, this.#tables.version);
  }

  /** Applies the updates that are newer than what is held, and derives the tables anew where they may have changed. */
  apply(updates: readonly Update[]): void {
    const applied: Update[] = [];
    for (const sent of updates) {
      // A change to a version that is not held here is skipped: the agent sees that by the checksum and sends everything.
      const update = this.stateTable.whole(sent);
      if (update !== 'unknown' && this.stateTable.put(update)) applied.push(update);
    }
    for (const update of applied) this.#note(update);
    const changes = applied.filter(({ key }) => key !== updateKeys.fresh);
    if (changes.length === 0) return;
    // Most feeds carry the other proxies' loads alone, several times a heartbeat: nothing else is derived from them.
    if (changes.every(({ key }) => key.startsWith(updateKeys.uses))) this.#applyLoads();
    else this.rebuild();
  }

  /** Whether a replica is silent without having announced its end. One that is leaving still finishes its tasks. */
  gone(service: string, address: string): boolean {
    const failureTimeoutMs = this.#tables.configuration?.bounds.replicaFailureTimeoutMs;
    if (failureTimeoutMs === undefined) return false;
    return this.#announcedReplicas.isGone(updateKeys.replica(service, address), failureTimeoutMs);
  }

  /** Slots announced, by service. */
  slots(): ReadonlyMap<string, number> {
    const slots = new Map<string, number>();
    for (const [service, rows] of this.#tables.replicas) slots.set(service, slotsOf(rows));
    return slots;
  }

  /** Derives the tables anew. Also called as time passes: that a replica has become silent comes as no update. */
  rebuild(): void {
    const newer = this.#newerConfiguration();
    const configuration = newer?.configuration ?? this.#tables.configuration;
    this.#tables = {
      version: newer?.version ?? this.#tables.version,
      configuration,
      tree: newer === undefined ? this.#tables.tree : new QuotaTree(new Map(entriesOf(newer.configuration.quotas))),
      routeTable: newer === undefined ? this.#tables.routeTable : new RouteTable(newer.configuration),
      replicas: configuration === undefined ? new Map() : this.#announcedReplicas.serving(configuration),
      shards: this.#newestShards(),
      singletonRole: this.#singletonRole.read(this.stateTable.get(updateKeys.singletonRole('dispatch'))),
      fronts: this.#loadOfOthers.proxies + 1,
      outputTokens: this.#outputTokens(),
    };
    this.#replicaKeys = keysOf(this.#tables);
  }

  /** Why a replica's announcement is rejected; undefined when it is not. */
  objection(replica: Replica): 'unknown service' | 'not allowed' | 'stale incarnation' | undefined {
    return this.#announcementRules.objection(replica, this.#tables.configuration);
  }

  #applyLoads(): void {
    const replicas = this.#announcedReplicas.withPresentLoad(this.#tables.replicas);
    this.#tables = { ...this.#tables, replicas, fronts: this.#loadOfOthers.proxies + 1 };
  }

  #note(update: Update): void {
    const { key } = update;
    if (key === updateKeys.fresh) this.#freshness.applyGrant(update);
    for (const prefix of [updateKeys.uses, updateKeys.nodes]) {
      if (key.startsWith(prefix)) this.#loadOfOthers.recount(key.slice(prefix.length));
    }
    if (key.startsWith(updateKeys.replicas)) this.#announcedReplicas.noteHeard(key);
  }

  /** Undefined unless a later version has arrived: a version never goes back, and a large configuration is parsed only once. */
  #newerConfiguration(): VersionedConfiguration | undefined {
    const update = this.stateTable.get(updateKeys.configuration);
    if (update === undefined || update.version[0] <= this.#tables.version) return undefined;
    const read = v.safeParse(VersionedConfiguration, update.value);
    return read.success && read.output.version > this.#tables.version ? read.output : undefined;
  }

  #newestShards(): ShardMap {
    const held = this.#tables.shards;
    const received = this.#shards.read(this.stateTable.get(ShardMap.key)) ?? held;
    return received.version >= held.version ? received : held;
  }

  #outputTokens(): ReadonlyMap<string, number> {
    const prefix = updateKeys.service('');
    const learned = new Map<string, number>();
    for (const update of this.stateTable.withPrefix(prefix)) {
      const outputTokens = this.#statistics.read(update)?.outputTokens;
      if (outputTokens !== undefined) learned.set(update.key.slice(prefix.length), outputTokens);
    }
    return learned;
  }
}

function keysOf({ replicas }: Tables): ReadonlySet<string> {
  const keys = new Set<string>();
  for (const rows of replicas.values()) for (const { replica } of rows) keys.add(replicaKey(replica));
  return keys;
}

function slotsOf(rows: readonly ReplicaRow[]): number {
  return rows.reduce((sum, { replica }) => sum + replica.slots, 0);
}
