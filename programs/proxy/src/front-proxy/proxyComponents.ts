import { agentCalls } from '@pewterlanding/agent';
import { LeaderFinder, ShardMap } from '@pewterlanding/consensus';
import type { StartupTimeline } from '@pewterlanding/runtime';
import { BatchService } from '../batch-api/index.js';
import { BatchRunner, PooledItemTransport } from '../batch-runner/index.js';
import { ConnectionPool } from '../connections/connectionPool.js';
import { defaultHeaderNames } from '../headers/defaultHeaderNames.js';
import { Forwarder } from '../forwarding/forwarder.js';
import type { HeaderNames } from '../headers/headerNames.js';
import { ProxyHandler } from '../forwarding/proxyHandler.js';
import { LocalQuota } from '../quota/index.js';
import { InFlightCounts } from '../selection/inFlightCounts.js';
import { ReplicaSelector } from '../selection/replicaSelector.js';
import { SlotPool } from '../selection/slotPool.js';
import type { RoutingState } from '../updates/index.js';
import type { FrontProxyOptions } from './frontProxyOptions.js';
import { InFlightReport } from './inFlightReport.js';
import { QuotaRequests } from './quotaRequests.js';

interface Selection {
  readonly slotPool: SlotPool;
  readonly selector: ReplicaSelector;
  readonly inFlightReport: InFlightReport;
}

/** Everything a proxy's components are built from. */
interface Base {
  readonly options: FrontProxyOptions;
  readonly headerNames: HeaderNames;
  readonly routingState: RoutingState;
  readonly timeline: StartupTimeline;
}

/** Multiples of the failure timeout: time to connect to a replica, time an idle connection is kept, time to learn at the start. */
const connectRatio = 1;
const idleRatio = 4;
const startRatio = 2;
/** Multiple of the failure timeout: time for a call to a batch shard, in which a new leader may be elected. */
const batchCallRatio = 5;

/** The components of one proxy, wired together. */
export class ProxyComponents {
  readonly slotPool: SlotPool;
  readonly selector: ReplicaSelector;
  readonly inFlightReport: InFlightReport;
  readonly connections: ConnectionPool;
  readonly proxyHandler: ProxyHandler;
  readonly localQuota: LocalQuota;
  readonly forwarder: Forwarder;
  readonly batches: BatchService;
  readonly runner: BatchRunner;

  constructor(options: FrontProxyOptions, routingState: RoutingState, timeline: StartupTimeline) {
    const base: Base = { options, routingState, timeline, headerNames: options.headerNames ?? defaultHeaderNames };
    const { clock, counters, replicas } = options;
    const finder = leaderFinder(base);
    this.connections = connectionPool(base);
    const selection = selectionOf(base, this.connections);
    this.slotPool = selection.slotPool;
    this.selector = selection.selector;
    this.inFlightReport = selection.inFlightReport;
    this.proxyHandler = proxyHandler(base, this.selector, this.connections);
    this.localQuota = localQuota(base, this.inFlightReport, () => this.runner.leases());
    const { slotPool } = this;
    this.forwarder = new Forwarder({ clock, routingState, slotPool, localQuota: this.localQuota, replicas, counters });
    this.batches = batchService(base, finder);
    this.runner = batchRunner(base, finder, selection, this.connections);
  }
}

function leaderFinder({ options, routingState }: Base): LeaderFinder {
  const { transport, clock, failureTimeoutMs } = options;
  return new LeaderFinder({
    transport,
    clock,
    tryMs: failureTimeoutMs,
    members: (shard) => {
      const group = routingState.stateTable.get(ShardMap.groupKey(shard));
      return ShardMap.members(routingState.tables.shards, shard, group?.value);
    },
  });
}

function selectionOf({ options, routingState }: Base, connections: ConnectionPool): Selection {
  const { clock, random, zone, counters } = options;
  const inFlight = new InFlightCounts();
  const tables = () => routingState.tables;
  const slotPool = new SlotPool({ clock, random, zone, tables, inFlight, counters });
  const hasIdleConnection = (key: string): boolean => connections.hasIdle(key);
  const selector = new ReplicaSelector({ clock, random, zone, tables, inFlight, hasIdleConnection, counters });
  return { slotPool, selector, inFlightReport: new InFlightReport({ inFlight, slotPool, selector }) };
}

function connectionPool({ options, headerNames }: Base): ConnectionPool {
  return new ConnectionPool({
    connectMs: options.failureTimeoutMs * connectRatio,
    idleMs: options.failureTimeoutMs * idleRatio,
    idHeader: headerNames.task,
  });
}

function proxyHandler(base: Base, selector: ReplicaSelector, connections: ConnectionPool): ProxyHandler {
  const { options, routingState, headerNames, timeline } = base;
  return new ProxyHandler({
    clock: options.clock,
    routingState,
    selector,
    connections,
    headerNames,
    counters: options.counters,
    startMs: options.failureTimeoutMs * startRatio,
    served: () => timeline.reach('first request served'),
  });
}

function localQuota(base: Base, inFlightReport: InFlightReport, leases: () => string[]): LocalQuota {
  const { options, routingState } = base;
  const { clock, counters, transport, agent, heartbeatMs, failureTimeoutMs } = options;
  const requests = new QuotaRequests({ transport, agent, routingState, inFlightReport, leases, timeoutMs: failureTimeoutMs });
  return new LocalQuota({
    clock,
    counters,
    requestIntervalMs: heartbeatMs / 2,
    maxRequestIntervalMs: heartbeatMs,
    // Later than the counter, which sets this proxy's fallback share aside after three quarters of the failure timeout.
    fallbackAfterMs: failureTimeoutMs,
    request: (requested, returned) => requests.send(requested, returned),
    fallbackRate: (quota) => requests.fallbackRate(quota),
  });
}

function batchService({ options, routingState }: Base, finder: LeaderFinder): BatchService {
  const { front, instance, clock, counters, failureTimeoutMs } = options;
  return new BatchService({ front, instance, clock, routingState, finder, waitMs: failureTimeoutMs * batchCallRatio, counters });
}

function batchRunner(base: Base, finder: LeaderFinder, selection: Selection, connections: ConnectionPool): BatchRunner {
  const { options, routingState, headerNames } = base;
  const { front, instance, clock, replicas, random, counters, transport, agent } = options;
  return new BatchRunner({
    front,
    instance,
    clock,
    routingState,
    slotPool: selection.slotPool,
    selector: selection.selector,
    finder,
    replicas,
    items: options.items ?? new PooledItemTransport({ clock, connections, headerNames }),
    headerNames,
    random,
    counters,
    settle: (settled) => transport.tell(agent, agentCalls.settle, { settled: [settled] }),
  });
}
