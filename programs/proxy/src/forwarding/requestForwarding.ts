import type { Clock, Counters } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/index.js';
import type { HeaderNames } from '../headers/index.js';
import type { AttemptOutcome, ReplicaSelector, RetryBudget, SelectedReplica, SelectionRequest } from '../selection/index.js';
import type { AttemptEnd } from './attemptEnd.js';
import { attemptHeaders } from './attemptHeaders.js';
import { attemptOutcomeOf } from './attemptOutcomeOf.js';
import type { AttemptRegistry } from './attemptRegistry.js';
import type { ForwardingPlan } from './forwardingPlan.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import type { ResponseSender } from './responseSender.js';
import type { ResponseWriter } from './responseWriter.js';
import { StreamProgress } from './streamProgress.js';
import { UpstreamAttempt } from './upstreamAttempt.js';
import { watchAttempt } from './watchAttempt.js';
import type { WholeResponse } from './wholeResponse.js';

interface RequestForwardingOptions {
  readonly clock: Clock;
  readonly selector: ReplicaSelector;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly counters: Counters;
  readonly registry: AttemptRegistry;
  readonly retries: RetryBudget;
  readonly responses: ResponseSender;
  /** Whether the proxy ends all requests. */
  readonly isAborting: () => boolean;
  /** Called at each stream that was passed on to its end. */
  readonly served?: () => void;
}

interface ForwardingClient {
  readonly request: ProxiedRequest;
  readonly writer: ResponseWriter;
  /** Fires when the client disconnects. */
  readonly abort: AbortSignal;
}

/** Part of the latency target that a request may wait here for a slot. */
const queueRatio = 0.2;
/** A replica silent for this multiple of the latency target counts as failing. */
const overdueRatio = 2;
/** A replica silent for this part of the request's time is given up if the request may be sent elsewhere. */
const silentRatio = 1 / 3;
/** Refusals for reasons of the replica, not of the request: another replica may accept it. */
const replicaRefusals = new Set([408, 421, 429, 503]);

/** Forwards one opaque request: attempts at one replica after another until the client has a response or none may follow. */
export class RequestForwarding {
  readonly #options: RequestForwardingOptions;
  readonly #plan: ForwardingPlan;
  readonly #client: ForwardingClient;
  readonly #stream: StreamProgress;
  readonly #selection: SelectionRequest;
  /** Keys of the replicas that attempts were made at. */
  readonly #attempted = new Set<string>();
  #sentCount = 0;
  /** A replica may have run the request. */
  #mayHaveRun = false;
  /** A replica's 5xx response, to be passed on if no better one arrives. */
  #failure: WholeResponse | undefined;

  constructor(options: RequestForwardingOptions, plan: ForwardingPlan, client: ForwardingClient) {
    this.#options = options;
    this.#plan = plan;
    this.#client = client;
    this.#stream = new StreamProgress(plan.resumeAfter, plan.rule.engine?.eventTokens ?? 1);
    this.#selection = { ...plan.selection, without: this.#attempted };
  }

  async run(): Promise<void> {
    const { writer, abort } = this.#client;
    while (this.#sentCount < this.#plan.route.attempts) {
      if (this.#isOver()) break;
      const selected = await this.#select();
      if (selected === undefined) break;
      if (this.#isOver()) {
        selected.leave('unknown');
        break;
      }
      const end = await this.#attempt(selected);
      selected.leave(this.#outcomeOf(end));
      if (abort.aborted) return writer.destroy();
      this.#options.counters.add(`exchange.attempt.${end.kind}`);
      if (this.#respond(end)) return;
      if (!this.#mayRepeat()) break;
    }
    this.#fail();
  }

  /** The client disconnected, less than a millisecond is left, or the proxy ends. */
  #isOver(): boolean {
    return this.#client.abort.aborted || this.#remainingMs() < 1 || this.#options.isAborting();
  }

  #remainingMs(): number {
    return this.#plan.untilMs - this.#options.clock.nowMs();
  }

  #select(): Promise<SelectedReplica | undefined> {
    const waitMs = Math.min(this.#remainingMs(), this.#plan.latencyMs * queueRatio);
    return this.#options.selector.enter(this.#selection, waitMs, this.#client.abort);
  }

  #attempt(selected: SelectedReplica): Promise<AttemptEnd> {
    const { clock, counters, registry } = this.#options;
    const { isIdempotent, untilMs, latencyMs, holdMs } = this.#plan;
    this.#attempted.add(selected.key);
    return watchAttempt({
      clock,
      counters,
      registry,
      attempt: this.#send(selected),
      abort: this.#client.abort,
      isIdempotent,
      untilMs,
      overdueMs: latencyMs * overdueRatio,
      silentMs: holdMs * silentRatio,
      overdue: selected.overdue,
      mayRetryElsewhere: () => this.#mayRetryElsewhere(),
    });
  }

  #send({ key, address, instance, read }: SelectedReplica): UpstreamAttempt {
    const { clock, connections, headerNames } = this.#options;
    const { id, rule, route, isStreamed } = this.#plan;
    const { request, writer } = this.#client;
    const isResumed = isStreamed && route.resumable && this.#stream.isBegun;
    const headers = attemptHeaders({
      headerNames,
      received: request.headers,
      remainingMs: this.#remainingMs(),
      urgency: route.urgency,
      instance,
      resumeAfter: isResumed ? this.#stream.lastId : undefined,
    });
    const stream = this.#stream;
    return new UpstreamAttempt({
      clock,
      connections,
      headerNames,
      writer,
      request,
      id,
      rule,
      isStreamed,
      stream,
      key,
      address,
      headers,
      read,
    });
  }

  /** Asked while an attempt is in flight; a true result spends a retry. */
  #mayRetryElsewhere(): boolean {
    const { selector, retries } = this.#options;
    const { isIdempotent, route } = this.#plan;
    if (!isIdempotent || this.#sentCount + 1 >= route.attempts) return false;
    if (this.#stream.isBegun && this.#stream.lastId === undefined) return false;
    return selector.offers(this.#selection) && retries.takeRetry();
  }

  /** An attempt that the deadline, the client's disconnection or the proxy's end stopped is no evidence about the replica. */
  #outcomeOf(end: AttemptEnd): AttemptOutcome {
    if (this.#isOver() && (end.kind === 'broken' || end.kind === 'unsent')) return 'unknown';
    return attemptOutcomeOf(end);
  }

  /** Passes on what an attempt brought; true when the client has its response. */
  #respond(end: AttemptEnd): boolean {
    if (end.kind === 'unsent') return false;
    if (end.kind === 'unfit') {
      this.#options.responses.refuse(this.#client.writer, { status: 400, error: 'the task cannot be sent on' });
      return true;
    }
    this.#sentCount += 1;
    switch (end.kind) {
      case 'streamed':
        this.#options.served?.();
        return true;
      case 'broken':
      case 'silent':
        this.#mayHaveRun = true;
        return false;
      case 'notRun':
        return this.#respondNotRun(end.result);
      case 'whole':
        return this.#respondWhole(end.result);
    }
  }

  /** A refusal for a reason of the request is the same at every replica. */
  #respondNotRun(response: WholeResponse): boolean {
    if (replicaRefusals.has(response.status) || this.#stream.isBegun) return false;
    this.#options.responses.send(this.#client.writer, response);
    return true;
  }

  #respondWhole(response: WholeResponse): boolean {
    if (this.#stream.isBegun) return false;
    if (response.status >= 500) {
      this.#mayHaveRun = true;
      this.#failure = response;
      if (this.#plan.isIdempotent) return false;
    }
    this.#options.responses.send(this.#client.writer, response);
    return true;
  }

  /** A request that may not run twice is repeated only if no replica can have run it; a stream only if it can be resumed. */
  #mayRepeat(): boolean {
    const { route, isIdempotent } = this.#plan;
    if (this.#mayHaveRun && !isIdempotent) return false;
    return !this.#stream.isBegun || (route.resumable && this.#stream.lastId !== undefined);
  }

  /** Ends a request that no attempt brought a response for. */
  #fail(): void {
    const { counters, selector, responses } = this.#options;
    const { writer } = this.#client;
    if (this.#stream.isBegun) {
      counters.add('exchange.cut');
      return writer.destroy();
    }
    if (this.#failure !== undefined) return responses.send(writer, this.#failure);
    // 503 promises that the request was not and will not be run: no attempt was sent, or each replica stated so.
    if (!this.#mayHaveRun) {
      const retryAfterMs = selector.retryAfterMs(this.#plan.service);
      return responses.refuse(writer, { status: 503, error: 'no replica took it', retryAfterMs });
    }
    if (this.#remainingMs() <= 0 || this.#options.isAborting()) return responses.refuse(writer, { status: 504, error: 'out of time' });
    return responses.refuse(writer, { status: 502, error: 'the replica failed; it may have run' });
  }
}
