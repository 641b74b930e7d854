import { agentCalls } from '@pewterlanding/agent';
import type { Replica } from '@pewterlanding/agent';
import type { Update } from '@pewterlanding/membership';
import { Limits } from '@pewterlanding/model';
import { every, StartupTimeline } from '@pewterlanding/runtime';
import * as v from 'valibot';
import type { BatchService } from '../batch-api/index.js';
import type { ConnectionPool } from '../connections/connectionPool.js';
import type { Forwarder } from '../forwarding/forwarder.js';
import type { ProxyHandler } from '../forwarding/proxyHandler.js';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import { InitialUpdate, RoutingState } from '../updates/index.js';
import type { FrontProxyOptions } from './frontProxyOptions.js';
import { ProxyComponents } from './proxyComponents.js';
import { ProxyStatus } from './proxyStatus.js';
import { ReplicaAnnouncements } from './replicaAnnouncements.js';

const defaultLimits = v.parse(Limits, {});

/** The proxy of one front machine: live tasks, the batch API, leased batch items and announcements of replicas. */
export class FrontProxy {
  readonly routingState: RoutingState;
  readonly #options: FrontProxyOptions;
  readonly #timeline: StartupTimeline;
  readonly #components: ProxyComponents;
  readonly #status: ProxyStatus;
  readonly #announcements: ReplicaAnnouncements;
  readonly #stops: (() => void)[] = [];
  #leaving = false;
  #wasFresh = false;
  #retainedKeys: ReadonlySet<string> = new Set();

  constructor(options: FrontProxyOptions) {
    this.#options = options;
    const { clock, transport, counters, agent, front, instance, heartbeatMs } = options;
    this.#timeline = options.timeline ?? new StartupTimeline({ clock, log: options.log });
    this.routingState = new RoutingState({ front, instance, clock });
    this.#components = new ProxyComponents(options, this.routingState, this.#timeline);
    this.#status = new ProxyStatus({
      routingState: this.routingState,
      components: this.#components,
      timeline: this.#timeline,
      isLeaving: () => this.#leaving,
    });
    this.#announcements = new ReplicaAnnouncements({
      transport,
      agent,
      routingState: this.routingState,
      timeoutMs: heartbeatMs,
      counters,
      changed: () => this.#tablesChanged(),
    });
    const initialUpdate = this.#initialUpdate();
    this.#stops.push(() => initialUpdate.close());
    this.#serveFeed(initialUpdate);
    this.#serveLeases();
    this.#timeline.await('configuration held', () => this.routingState.tables.configuration !== undefined);
    this.#timeline.await('replicas known', () => this.routingState.tables.replicas.size > 0);
    this.#stops.push(every(clock, heartbeatMs, () => this.#heartbeat()));
  }

  get forwarder(): Forwarder {
    return this.#components.forwarder;
  }

  get proxyHandler(): ProxyHandler {
    return this.#components.proxyHandler;
  }

  get selector(): ReplicaSelector {
    return this.#components.selector;
  }

  get connections(): ConnectionPool {
    return this.#components.connections;
  }

  get batches(): BatchService {
    return this.#components.batches;
  }

  /** Whether the platform should send callers here. */
  ready(): { readonly ready: boolean; readonly reason: string } {
    return this.#status.readiness();
  }

  /** Limits on what downstreams send; the defaults until a configuration arrives. */
  get limits(): Limits {
    return this.routingState.tables.configuration?.limits ?? defaultLimits;
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  /** Tasks and items in flight. */
  get running(): number {
    return this.#status.running();
  }

  status() {
    return this.#status.report();
  }

  /** Applies a replica's announcement at once and has the agent spread it; or says why it is rejected. */
  announce(replica: Replica) {
    return this.#announcements.announce(replica);
  }

  /** From now on not ready: still serves live tasks, and returns the leases of items that have not started. */
  leave(): void {
    this.#leaving = true;
    this.#components.runner.stop();
    this.#options.log.info('leaving: not ready any more');
  }

  /** Aborts items that still run and returns their leases. Called shortly before the grace period ends. */
  halt(): void {
    this.#components.runner.halt();
  }

  /** Ends the requests in flight with a response each. Called when the grace period has ended. */
  abortRequests(): void {
    this.proxyHandler.abortAll();
  }

  /** Tells the agent, which sent updates until now, that this proxy ends; then closes. */
  finish(): void {
    this.#options.transport.tell(this.#options.agent, agentCalls.leave, {});
    this.close();
  }

  close(): void {
    this.#components.localQuota.close();
    for (const stop of this.#stops) stop();
    void this.connections.close();
  }

  #initialUpdate(): InitialUpdate {
    const { front, transport, clock, counters, heartbeatMs } = this.#options;
    return new InitialUpdate({
      front,
      transport,
      clock,
      counters,
      seeds: this.#options.seeds ?? [],
      stateTable: this.routingState.stateTable,
      heartbeatMs,
      apply: (updates) => this.#apply(updates),
    });
  }

  #serveFeed(initialUpdate: InitialUpdate): void {
    const { transport, instance } = this.#options;
    const { routingState } = this;
    transport.serve(agentCalls.feed, async ({ updates }) => {
      this.#timeline.reach('first peer heard');
      this.#apply(updates);
      if (routingState.tables.configuration !== undefined) initialUpdate.close();
      return {
        instance,
        version: routingState.tables.version,
        checksum: routingState.stateTable.checksum,
        clockReading: routingState.clockReading(),
        use: this.#components.inFlightReport.byReplica(),
      };
    });
  }

  #serveLeases(): void {
    this.#options.transport.serve(agentCalls.lease, async ({ term, offers }) => {
      const currentTerm = this.routingState.tables.singletonRole?.term ?? 0;
      if (term < currentTerm || this.#leaving) return { taken: false, term: currentTerm };
      this.#components.runner.accept(offers);
      return { taken: true, term };
    });
  }

  #apply(updates: readonly Update[]): void {
    this.routingState.apply(updates);
    this.#components.slotPool.heard();
    this.selector.heard();
    this.#tablesChanged();
  }

  /** Brings the components in line with the routing tables, which may have changed. */
  #tablesChanged(): void {
    this.#retainReplicas();
    this.proxyHandler.look();
    this.#timeline.look();
    this.selector.wake();
    this.#components.slotPool.wake();
  }

  /** Forgets replicas that are gone. */
  #retainReplicas(): void {
    const keys = this.routingState.replicaKeys;
    if (keys === this.#retainedKeys) return;
    this.#retainedKeys = keys;
    this.connections.retain(keys);
    this.selector.retain(keys);
  }

  #heartbeat(): void {
    void this.#announcements.send();
    // A replica's silence comes as no update, so the tables are derived anew as time passes.
    this.routingState.rebuild();
    this.#tablesChanged();
    this.#logFreshness();
  }

  #logFreshness(): void {
    const isFresh = this.routingState.isFresh();
    if (isFresh !== this.#wasFresh) {
      const message = isFresh ? `fresh under version ${this.routingState.tables.version}` : 'stale: refusing tasks';
      this.#options.log.info(message);
    }
    this.#wasFresh = isFresh;
  }
}
