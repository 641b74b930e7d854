import { LeaderFinder, ShardMap } from '@pewterlanding/consensus';
import { agentCalls, updateKeys } from '@pewterlanding/agent';
import type { Replica } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import * as v from 'valibot';
import { Limits } from '@pewterlanding/model';
import { every, StartupTimeline } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { fleetCeiling, shareOf } from '@pewterlanding/rate-limit';
import { Forwarder } from './forwarding/forwarder.js';
import type { HeaderNames } from './headers/headerNames.js';
import type { ItemTransport } from './batch-runner/itemTransport.js';
import { ReplicaSelector } from './selection/replicaSelector.js';
import { PooledItemTransport } from './batch-runner/pooledItemTransport.js';
import { ConnectionPool } from './connections/connectionPool.js';
import { InitialUpdate } from './updates/initialUpdate.js';
import { BatchService } from './batch-api/batchService.js';
import { BatchRunner } from './batch-runner/batchRunner.js';
import { RoutingState } from './updates/routingState.js';
import { defaultHeaderNames } from './headers/defaultHeaderNames.js';
import { ProxyHandler } from './forwarding/proxyHandler.js';
import { replicaKey } from './routing/replicaKey.js';
import type { ReplicaTransport } from './connections/replicaTransport.js';
import { SlotPool } from './selection/slotPool.js';
import { LocalQuota } from './quota/localQuota.js';
import { InFlightCounts } from './selection/inFlightCounts.js';

interface ProxyOptions {
  /** The front machine's name, shared with the agent. */
  readonly front: NodeName;
  /** Told anew at each start of the process. */
  readonly instance: string;
  readonly zone: string;
  readonly agent: Address;
  /** Controllers that are asked until the agent is heard; left out, only the agent is waited for. */
  readonly seeds?: readonly Address[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly replicas: ReplicaTransport;
  /** For opaque items; left out, they go over this front's connections. */
  readonly items?: ItemTransport | undefined;
  /** The names of headers on opaque tasks; left out, the product's own. */
  readonly headerNames?: HeaderNames;
  readonly random: () => number;
  readonly heartbeatMs: number;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  /** Noted into as this front learns; left out, one is made here. */
  readonly timeline?: StartupTimeline;
}

/** A life that ended can not be told to serve again. */
const leavingTurn = 1_000_000_000;
const usualLimits = v.parse(Limits, {});
/** How long a connection to a replica may take to come up, and an idle one is kept, by the silence after which a neighbour is gone. */
const connectRatio = 1;
const idleRatio = 4;
/** So long after its start a front may lack setup and replicas, by the same silence. */
const startRatio = 2;

/** The proxy of one front machine: live tasks, lots' desk, leased items, replicas' announcements. */
export class FrontProxy {
  readonly routingState: RoutingState;
  readonly forwarder: Forwarder;
  readonly proxyHandler: ProxyHandler;
  readonly selector: ReplicaSelector;
  readonly connections: ConnectionPool;
  readonly batches: BatchService;
  readonly #options: ProxyOptions;
  readonly #slotPool: SlotPool;
  readonly #inFlight = new InFlightCounts();
  readonly #localQuota: LocalQuota;
  readonly #runner: BatchRunner;
  readonly #timeline: StartupTimeline;
  readonly #stops: (() => void)[] = [];
  readonly #unsaid = new Map<string, Update>();
  #leaving = false;
  #wasFresh = false;

  constructor(options: ProxyOptions) {
    this.#options = options;
    const { clock, transport, counters, front, instance, replicas, heartbeatMs, failureTimeoutMs } = options;
    this.#timeline = options.timeline ?? new StartupTimeline({ clock, log: options.log });
    this.routingState = new RoutingState({ front, instance, clock });
    const finder = new LeaderFinder({
      transport,
      clock,
      tryMs: failureTimeoutMs,
      members: (shard) =>
        ShardMap.members(this.routingState.tables.shards, shard, this.routingState.stateTable.get(ShardMap.groupKey(shard))?.value),
    });
    const tables = () => this.routingState.tables;
    const { random, zone } = options;
    this.#slotPool = new SlotPool({ clock, random, zone, tables, inFlight: this.#inFlight, counters });
    this.selector = new ReplicaSelector({ clock, random, zone, tables, inFlight: this.#inFlight, counters });
    const headerNames = options.headerNames ?? defaultHeaderNames;
    this.connections = new ConnectionPool({
      connectMs: failureTimeoutMs * connectRatio,
      idleMs: failureTimeoutMs * idleRatio,
      idHeader: headerNames.task,
    });
    this.proxyHandler = new ProxyHandler({
      clock,
      routingState: this.routingState,
      selector: this.selector,
      connections: this.connections,
      headerNames,
      counters,
      startMs: failureTimeoutMs * startRatio,
      served: () => this.#timeline.reach('first request served'),
    });
    this.#localQuota = new LocalQuota({
      clock,
      counters,
      drawMs: heartbeatMs / 2,
      wordMs: heartbeatMs,
      // Later than the counter, which keeps this front's slice back after three quarters of the silence.
      aloneMs: failureTimeoutMs,
      draw: (requested, returned) =>
        transport.ask(
          options.agent,
          agentCalls.requestQuota,
          { requested: [...requested], returned: [...returned], leases: this.#runner.leases(), live: this.#live() },
          failureTimeoutMs,
        ),
      fixed: (quota) => {
        const { configuration, tree } = this.routingState.tables;
        return configuration === undefined || !tree.has(quota)
          ? undefined
          : shareOf(
              fleetCeiling(configuration, this.routingState.slots()),
              (tree.ownShare(quota) * configuration.bounds.fallbackRatio) / configuration.bounds.fronts,
            );
      },
    });
    this.forwarder = new Forwarder({
      clock,
      routingState: this.routingState,
      slotPool: this.#slotPool,
      localQuota: this.#localQuota,
      replicas,
      counters,
    });
    this.batches = new BatchService({
      front,
      instance,
      clock,
      routingState: this.routingState,
      finder,
      waitMs: failureTimeoutMs * 5,
      counters,
    });
    this.#runner = new BatchRunner({
      front,
      instance,
      clock,
      routingState: this.routingState,
      slotPool: this.#slotPool,
      selector: this.selector,
      finder,
      replicas,
      items: options.items ?? new PooledItemTransport({ clock, connections: this.connections, headerNames }),
      headerNames,
      random: options.random,
      counters,
      settle: (settled) => transport.tell(options.agent, agentCalls.settle, { settled: [settled] }),
    });
    const initialUpdate = new InitialUpdate({
      front,
      transport,
      clock,
      counters,
      seeds: options.seeds ?? [],
      stateTable: this.routingState.stateTable,
      heartbeatMs,
      take: (updates) => this.#take(updates),
    });
    this.#stops.push(() => initialUpdate.close());
    transport.serve(agentCalls.feed, async ({ updates }) => {
      this.#timeline.reach('first peer heard');
      this.#take(updates);
      if (this.routingState.tables.configuration !== undefined) initialUpdate.close();
      return {
        instance,
        version: this.routingState.tables.version,
        checksum: this.routingState.stateTable.checksum,
        clockReading: this.routingState.clockReading(),
        use: Object.fromEntries(this.#inFlight.all()),
      };
    });
    transport.serve(agentCalls.lease, async ({ term, offers }) => {
      const known = this.routingState.tables.singletonRole?.term ?? 0;
      if (term < known || this.#leaving) return { taken: false, term: known };
      this.#runner.take(offers);
      return { taken: true, term };
    });
    this.#timeline.await('configuration held', () => this.routingState.tables.configuration !== undefined);
    this.#timeline.await('replicas known', () => this.routingState.tables.replicas.size > 0);
    this.#stops.push(every(clock, heartbeatMs, () => this.#heartbeat()));
  }

  /** Whether the platform should send callers here. */
  ready(): { readonly ready: boolean; readonly reason: string } {
    if (this.#leaving) return { ready: false, reason: 'leaving' };
    if (this.routingState.tables.configuration === undefined) return { ready: false, reason: 'no setup' };
    return this.routingState.fresh() ? { ready: true, reason: 'fresh' } : { ready: false, reason: 'stale' };
  }

  /** What downstreams may send; the usual limits until a setup says otherwise. */
  get limits(): Limits {
    return this.routingState.tables.configuration?.limits ?? usualLimits;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  /** Tasks and items under way. */
  get running(): number {
    return this.forwarder.running + this.proxyHandler.running + this.#runner.running;
  }

  status() {
    const { version, replicas } = this.routingState.tables;
    const rows = [...replicas.values()].flat().map(({ replica, others }) => ({ ...replica, others }));
    return {
      ...this.ready(),
      version,
      running: this.running,
      waiting: this.#slotPool.waiting,
      alone: this.#localQuota.alone,
      startup: this.#timeline.stages(),
      replicas: rows,
    };
  }

  /** Takes a replica's word, acts on it at once, and has the agent spread it. */
  announce(replica: Replica): 'taken' | 'unknown service' | 'not allowed' | 'stale incarnation' {
    const objection = this.routingState.objection(replica);
    if (objection !== undefined) {
      this.#options.counters.add(`replica.refused`);
      return objection;
    }
    const key = updateKeys.replica(replica.service, replicaKey(replica));
    const known = this.routingState.stateTable.get(key);
    const turn = replica.state === 'leaving' ? leavingTurn : known?.version[0] === replica.incarnation ? known.version[1] + 1 : 0;
    const update = { key, version: [replica.incarnation, turn] satisfies [number, number], volatile: false, value: replica };
    this.routingState.take([update]);
    this.#heard();
    this.#unsaid.set(key, update);
    void this.#say();
    this.#options.counters.add(`replica.${replica.state}`);
    return 'taken';
  }

  /** Says that this front goes: not ready from now on, still serving, giving back items that have not started. */
  leave(): void {
    this.#leaving = true;
    this.#runner.stop();
    this.#options.log.info('leaving: not ready any more');
  }

  /** The grace is nearly over: items that still run are given back. */
  halt(): void {
    this.#runner.halt();
  }

  /** The last word to the agent, which kept the news coming until now. */
  finish(): void {
    this.#options.transport.tell(this.#options.agent, agentCalls.leave, {});
    this.close();
  }

  close(): void {
    this.#localQuota.close();
    for (const stop of this.#stops) stop();
    void this.connections.close();
  }

  /** Says to the agent what began here, again until the agent has it: others must not depend on one try. */
  async #say(): Promise<void> {
    const said = [...this.#unsaid.values()];
    if (said.length === 0) return;
    try {
      await this.#options.transport.ask(this.#options.agent, agentCalls.tell, { updates: said }, this.#options.heartbeatMs);
      for (const update of said) if (this.#unsaid.get(update.key) === update) this.#unsaid.delete(update.key);
    } catch {
      this.#options.counters.add('proxy.unsaid');
    }
  }

  #take(updates: readonly Update[]): void {
    this.routingState.take(updates);
    this.#slotPool.heard();
    this.selector.heard();
    this.#heard();
  }

  /** The tables may have changed. */
  #heard(): void {
    const keys = new Set([...this.routingState.tables.replicas.values()].flat().map(({ replica }) => replicaKey(replica)));
    this.connections.retain(keys);
    this.selector.retain(keys);
    this.proxyHandler.look();
    this.#timeline.look();
    this.selector.wake();
    this.#slotPool.wake();
  }

  /** What live tasks take and want, on both paths. */
  #live() {
    return this.#slotPool.live().map((one) => ({ ...one, waiting: one.waiting + this.selector.waiting(one.service) }));
  }

  #heartbeat(): void {
    void this.#say();
    // Silence of replicas is no news, so the tables are derived anew as time passes.
    this.routingState.rebuild();
    this.#heard();
    const fresh = this.routingState.fresh();
    if (fresh !== this.#wasFresh)
      this.#options.log.info(fresh ? `fresh under version ${this.routingState.tables.version}` : 'stale: refusing tasks');
    this.#wasFresh = fresh;
  }
}
