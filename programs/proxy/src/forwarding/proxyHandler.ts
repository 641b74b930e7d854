import type { Clock, Counters } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/index.js';
import { headerOf } from '../headers/index.js';
import type { HeaderNames } from '../headers/index.js';
import type { RouteMatch } from '../routing/index.js';
import { RetryBudget } from '../selection/index.js';
import type { ReplicaSelector } from '../selection/index.js';
import type { RoutingState } from '../updates/routingState.js';
import { AttemptRegistry } from './attemptRegistry.js';
import { planForwarding } from './planForwarding.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import { RequestForwarding } from './requestForwarding.js';
import { ResponseSender } from './responseSender.js';
import type { ResponseWriter } from './responseWriter.js';
import { StartGate } from './startGate.js';

interface ProxyHandlerOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly selector: ReplicaSelector;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly counters: Counters;
  /** How long after its start a proxy holds requests for want of a configuration or replicas; left out, not at all. */
  readonly startMs?: number;
  /** Called at each response of a replica that was passed on. */
  readonly served?: () => void;
}

/** Part of a request's time that it may be held while the proxy starts. */
const startRatio = 0.2;

/** Live path of opaque requests: match the route, select a replica, send, check the response, retry where that is safe, respond. */
export class ProxyHandler {
  readonly #options: ProxyHandlerOptions;
  readonly #registry: AttemptRegistry;
  readonly #responses: ResponseSender;
  readonly #gate: StartGate;
  readonly #retries = new RetryBudget();
  #running = 0;
  #isAborting = false;

  constructor(options: ProxyHandlerOptions) {
    this.#options = options;
    const { clock, routingState, startMs = 0 } = options;
    const ready = (): boolean => routingState.isFresh() && routingState.tables.replicas.size > 0;
    this.#registry = new AttemptRegistry(options);
    this.#responses = new ResponseSender(options);
    this.#gate = new StartGate({ clock, ready, patienceMs: startMs });
  }

  /** Requests being handled. */
  get running(): number {
    return this.#running;
  }

  /** Holds a request for a moment if this proxy has just started and cannot know its route yet. */
  async started(request: ProxiedRequest, abort: AbortSignal): Promise<void> {
    const clientMs = Number(headerOf(request.headers, this.#options.headerNames.expiryMs) ?? Number.NaN);
    if (clientMs > 0) await this.#gate.wait(clientMs * startRatio, abort);
  }

  /** Requests so held. */
  get held(): number {
    return this.#gate.held;
  }

  /** The route that a request matches, if any. */
  find(host: string, url: string): RouteMatch | undefined {
    return this.#options.routingState.tables.routeTable.find(host, url);
  }

  /** Handles a request. Never rejects: the client gets a whole response, a refusal, or a connection that is closed visibly early. */
  async carry(request: ProxiedRequest, writer: ResponseWriter, abort: AbortSignal): Promise<void> {
    this.#running += 1;
    try {
      await this.#forward(request, writer, abort);
    } catch {
      this.#options.counters.add('exchange.failed');
      writer.destroy();
    } finally {
      this.#running -= 1;
    }
  }

  /** Call when the routing tables changed: lets held requests go, and aborts attempts at replicas that are gone where that is safe. */
  look(): void {
    this.#gate.routingChanged();
    this.#registry.abortGone();
  }

  /** Ends all requests: each gets 504, or 503 where no replica can have run it. A stream that has begun is cut. */
  abortAll(): void {
    this.#isAborting = true;
    this.#registry.abortAll();
  }

  #forward(request: ProxiedRequest, writer: ResponseWriter, abort: AbortSignal): Promise<void> {
    const plan = planForwarding(this.#options, request);
    if (plan.kind === 'refused') {
      this.#responses.refuse(writer, plan);
      return Promise.resolve();
    }
    this.#retries.requestBegun(plan.retryRatio);
    const shared = {
      ...this.#options,
      registry: this.#registry,
      retries: this.#retries,
      responses: this.#responses,
      isAborting: () => this.#isAborting,
    };
    return new RequestForwarding(shared, plan, { request, writer, abort }).run();
  }
}
