import { hashOf } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { ConnectionPool } from '../connections/connectionPool.js';
import { endToEnd } from './endToEnd.js';
import { headerOf } from '../connections/headerOf.js';
import type { HeaderNames } from './headerNames.js';
import type { RoutingState } from '../updates/routingState.js';
import type { ProxiedRequest } from './proxiedRequest.js';
import { UpstreamAttempt } from './upstreamAttempt.js';
import { RetryBudget } from '../selection/retryBudget.js';
import type { ResponseWriter } from './responseWriter.js';
import type { AttemptEnd } from './attemptEnd.js';
import type { RouteMatch } from '../routing/routeMatch.js';
import { StartGate } from '../updates/startGate.js';
import { selectionRequestOf } from '../selection/selectionRequestOf.js';

interface ExchangesOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly selector: ReplicaSelector;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
  readonly counters: Counters;
  /** How long after its start a front may hold tasks for want of a setup or replicas; left out, not at all. */
  readonly startMs?: number;
  /** Told at each return of a replica that was passed on. */
  readonly served?: () => void;
}

/** What is known of one task's tries so far. */
interface Progress {
  sent: number;
  /** A replica may have run it. */
  ran: boolean;
  /** A replica's own failure, to be passed on if nothing better comes. */
  failure: Extract<AttemptEnd, { kind: 'whole' }>['result'] | undefined;
}

/** What ends one try before its replica does. */
interface Watch {
  readonly idempotent: boolean;
  readonly untilMs: number;
  readonly overdueMs: number;
  readonly silentMs: number;
  /** Tells the choice of replicas. */
  readonly overdue: () => void;
  /** Whether the task may go on elsewhere now; a true answer is paid for from the retry budget. */
  readonly onward: () => boolean;
}

/** Of the time within which a return earns its full worth, a task waits here for a place at the most this shard. */
const lineRatio = 0.2;
/** Of a task's time, so much may go by before a front that is starting knows where to send it. */
const startRatio = 0.2;
/** A replica silent for so many times the time within which a return earns its full worth counts as failing. */
const overdueRatio = 2;
/** Silent for this part of the time that a task has, it is given up where the task may go on elsewhere. */
const silentRatio = 1 / 3;
const emptyRetryMs = 500;
/** No timer takes longer ones. */
const maxMs = 86_400_000;

/** The live path of opaque tasks: route, choose, send, judge, try again where that is allowed, return. */
export class ProxyHandler {
  readonly #options: ExchangesOptions;
  readonly #attempts = new Map<UpstreamAttempt, { readonly idempotent: boolean }>();
  readonly #gate: StartGate;
  readonly #retries = new RetryBudget();
  #running = 0;

  constructor(options: ExchangesOptions) {
    this.#options = options;
    const { clock, routingState, startMs = 0 } = options;
    const ready = (): boolean => routingState.fresh() && routingState.tables.replicas.size > 0;
    this.#gate = new StartGate({ clock, ready, patienceMs: startMs });
  }

  get running(): number {
    return this.#running;
  }

  /** Holds a task for a moment where this front has just started and cannot know its route yet. */
  async started(task: ProxiedRequest, abort: AbortSignal): Promise<void> {
    const told = Number(headerOf(task.headers, this.#options.headerNames.expiryMs) ?? Number.NaN);
    if (told > 0) await this.#gate.pass(told * startRatio, abort);
  }

  /** Tasks so held. */
  get held(): number {
    return this.#gate.held;
  }

  /** The route that a task falls on, if any. */
  find(host: string, url: string): RouteMatch | undefined {
    return this.#options.routingState.tables.routeTable.find(host, url);
  }

  /** Never throws; every end is a whole return, a refusal, or a broken connection. */
  async carry(task: ProxiedRequest, writer: ResponseWriter, abort: AbortSignal): Promise<void> {
    this.#running += 1;
    try {
      await this.#carry(task, writer, abort);
    } catch {
      this.#options.counters.add('exchange.failed');
      writer.destroy();
    } finally {
      this.#running -= 1;
    }
  }

  /**
   * Breaks off tries at replicas that are known to be gone, where they may be repeated or where nothing was sent yet. Called when
   * the news change.
   */
  look(): void {
    const { routingState, clock, counters } = this.#options;
    this.#gate.look();
    if (this.#attempts.size === 0) return;
    const failureTimeoutMs = routingState.tables.configuration?.bounds.replicaFailureTimeoutMs ?? Infinity;
    for (const [one, { idempotent }] of this.#attempts) {
      if ((!idempotent && one.begun) || !routingState.silent.has(one.key) || clock.nowMs() - one.heardMs < failureTimeoutMs) continue;
      counters.add('exchange.gone');
      one.abort('the replica is gone');
    }
  }

  async #carry(task: ProxiedRequest, writer: ResponseWriter, abort: AbortSignal): Promise<void> {
    const { clock, routingState, headerNames } = this.#options;
    const arrivedMs = clock.nowMs();
    const told = Number(headerOf(task.headers, headerNames.expiryMs) ?? Number.NaN);
    const { configuration } = routingState.tables;
    if (configuration === undefined || !routingState.fresh()) return this.#refuse(writer, 503, 'this front is not ready', emptyRetryMs);
    const routeMatch = this.find(task.host, task.url);
    if (routeMatch === undefined) return this.#refuse(writer, 404, 'no route');
    const { route } = routeMatch;
    const id = headerOf(task.headers, headerNames.task) ?? '';
    // Without an id nothing tells its response from another one's, and replicas do not run it.
    if (id === '') return this.#refuse(writer, 400, 'no request id');
    // The same try falls on the same service at every front.
    const service = routeMatch.service(hashOf(id) / 2 ** 48);
    const rule = service === undefined ? undefined : configuration.services[service];
    if (service === undefined || rule === undefined) return this.#refuse(writer, 503, 'no service', emptyRetryMs);
    const holdMs = Math.min(told >= 0 ? told : rule.runMs, route.timeoutMs ?? maxMs);
    const untilMs = arrivedMs + holdMs;
    const resumeAfter = headerOf(task.headers, headerNames.resumeAfter);
    const first = resumeAfter !== undefined && /^\d{1,15}$/.test(resumeAfter) ? Number(resumeAfter) : undefined;
    const stream = { begun: false, lastId: route.resumable ? first : undefined, step: rule.engine?.eventTokens ?? 1 };
    const idempotent = route.idempotent || (route.kind === 'streamed' && route.resumable);
    const streamed = route.kind === 'streamed';
    const selectionRequest = selectionRequestOf(headerNames, task.headers, service, route.urgency);
    const without = new Set<string>();
    this.#retries.task(configuration.bounds.retryRatio);
    const progress: Progress = { sent: 0, ran: false, failure: undefined };
    while (progress.sent < route.attempts) {
      const leftMs = untilMs - clock.nowMs();
      if (leftMs < 1 || abort.aborted) break;
      const waitMs = Math.min(leftMs, (route.latencyTargetMs ?? holdMs) * lineRatio);
      const selected = await this.#options.selector.enter({ ...selectionRequest, without }, waitMs, abort);
      if (selected === undefined) break;
      if (abort.aborted || untilMs - clock.nowMs() < 1) {
        selected.leave('unknown');
        break;
      }
      without.add(selected.key);
      const resume = streamed && route.resumable && stream.begun ? stream.lastId : undefined;
      const headers = this.#headers(task, route.urgency, selected.instance, untilMs, resume);
      const one = new UpstreamAttempt({ ...this.#options, writer, task, id, rule, streamed, stream, headers, ...selected });
      const onward = (): boolean =>
        idempotent &&
        progress.sent + 1 < route.attempts &&
        (!stream.begun || stream.lastId !== undefined) &&
        this.#options.selector.offers({ ...selectionRequest, without }) &&
        this.#retries.take();
      const overdueMs = (route.latencyTargetMs ?? holdMs) * overdueRatio;
      const end = await this.#watch(one, { idempotent, untilMs, overdueMs, silentMs: holdMs * silentRatio, ...selected, onward }, abort);
      const over = abort.aborted || clock.nowMs() >= untilMs;
      // What its own time or its downstream ended in the middle tells nothing of the replica.
      selected.leave(over && (end.kind === 'broken' || end.kind === 'unsent') ? 'unknown' : healthOf(end));
      if (abort.aborted) return writer.destroy();
      this.#options.counters.add(`exchange.attempt.${end.kind}`);
      if (this.#judge(end, writer, idempotent, stream, progress)) return;
      // What may not run twice is sent again only where it surely did not run; a stream only where it can be continued.
      if (progress.ran && !idempotent) break;
      if (stream.begun && (!route.resumable || stream.lastId === undefined)) break;
    }
    this.#finish(writer, stream.begun, progress, untilMs, service);
  }

  /** True when the downstream has its return. */
  #judge(end: AttemptEnd, writer: ResponseWriter, idempotent: boolean, stream: { readonly begun: boolean }, progress: Progress): boolean {
    if (end.kind === 'unsent') return false;
    if (end.kind === 'unfit') {
      this.#refuse(writer, 400, 'the task cannot be sent on');
      return true;
    }
    progress.sent += 1;
    if (end.kind === 'streamed') {
      this.#options.served?.();
      return true;
    }
    if (end.kind === 'broken' || end.kind === 'silent') {
      progress.ran = true;
      return false;
    }
    const { result } = end;
    if (end.kind === 'notRun') {
      // A full or a wrong replica is no word about the task; any other refusal is, and the same everywhere.
      if ([408, 421, 429, 503].includes(result.status) || stream.begun) return false;
      this.#return(writer, result);
      return true;
    }
    if (stream.begun) return false;
    if (result.status >= 500) {
      progress.ran = true;
      progress.failure = result;
      if (idempotent) return false;
    }
    this.#return(writer, result);
    return true;
  }

  async #watch(one: UpstreamAttempt, watch: Watch, abort: AbortSignal): Promise<AttemptEnd> {
    const { clock } = this.#options;
    const { idempotent, untilMs, overdueMs, silentMs, overdue, onward } = watch;
    // The downstream that leaves takes its task along; until then only its own time ends a try.
    const leave = (): void => one.giveUp('the downstream left');
    abort.addEventListener('abort', leave);
    const stops = [
      clock.after(Math.max(0, untilMs - clock.nowMs()), () => one.giveUp('out of time')),
      clock.after(overdueMs, () => {
        if (!one.answered) overdue();
      }),
    ];
    if (idempotent) stops.push(this.#whenSilent(one, silentMs, onward));
    this.#attempts.set(one, { idempotent });
    try {
      return await one.end;
    } finally {
      this.#attempts.delete(one);
      for (const stop of stops) stop();
      abort.removeEventListener('abort', leave);
    }
  }

  /** Gives a try up once its replica has been silent for so long and the task can go on elsewhere. */
  #whenSilent(one: UpstreamAttempt, silentMs: number, onward: () => boolean): () => void {
    const { clock, counters } = this.#options;
    let stop = (): void => undefined;
    const look = (): void => {
      const leftMs = one.heardMs + silentMs - clock.nowMs();
      if (leftMs <= 0 && !one.paused && onward()) {
        counters.add('exchange.silent');
        one.giveUp('silent for too long');
      } else stop = clock.after(leftMs > 0 ? leftMs : silentMs, look);
    };
    look();
    return () => stop();
  }

  #headers(task: ProxiedRequest, urgency: number, instance: string | undefined, untilMs: number, resume: number | undefined): string[] {
    const { headerNames, clock } = this.#options;
    const set = [
      headerNames.expiryMs,
      headerNames.instance,
      headerNames.urgency,
      ...(resume === undefined ? [] : [headerNames.resumeAfter]),
    ];
    const headers = endToEnd(task.headers, set);
    headers.push(headerNames.expiryMs, String(Math.max(1, Math.floor(untilMs - clock.nowMs()))), headerNames.urgency, String(urgency));
    if (instance !== undefined) headers.push(headerNames.instance, instance);
    if (resume !== undefined) headers.push(headerNames.resumeAfter, String(resume));
    return headers;
  }

  #return(writer: ResponseWriter, result: Extract<AttemptEnd, { kind: 'whole' }>['result']): void {
    const headers = endToEnd(result.headers, []);
    const length = headerOf(result.headers, 'content-length');
    // A return to HEAD states the length of a body that it does not have.
    if (result.body.length > 0 || (result.status !== 204 && result.status !== 304))
      headers.push('content-length', length ?? String(result.body.length));
    writer.head(result.status, result.reason, headers);
    writer.end(result.body.length > 0 ? result.body : undefined);
    this.#options.served?.();
    this.#options.counters.add(`exchange.${result.status}`);
  }

  /** No try brought a return that counts. */
  #finish(
    writer: ResponseWriter,
    begun: boolean,
    progress: Progress,
    untilMs: number,
    service: Parameters<ReplicaSelector['waiting']>[0],
  ): void {
    const { clock, counters, selector } = this.#options;
    if (begun) {
      counters.add('exchange.cut');
      return writer.destroy();
    }
    if (progress.failure !== undefined) return this.#return(writer, progress.failure);
    // 503 promises that it never ran and never will: only where nothing was sent, or each replica said so.
    if (!progress.ran) return this.#refuse(writer, 503, 'no replica took it', selector.retryAfterMs(service));
    if (clock.nowMs() >= untilMs) return this.#refuse(writer, 504, 'out of time');
    return this.#refuse(writer, 502, 'the replica failed; it may have run');
  }

  #refuse(writer: ResponseWriter, status: number, error: string, retryAfterMs?: number): void {
    const { headerNames, counters } = this.#options;
    const body = Buffer.from(JSON.stringify({ error }));
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)];
    if (retryAfterMs !== undefined) headers.push(headerNames.retryAfter, String(Math.ceil(retryAfterMs) / 1000));
    writer.head(status, '', headers);
    writer.end(body);
    counters.add(`exchange.own.${status}`);
  }
}

/** What a try's end tells of its replica. */
function healthOf(end: AttemptEnd): 'well' | 'hurt' | 'full' | 'poor' | 'unknown' {
  if (end.kind === 'unfit') return 'unknown';
  if (end.kind === 'silent') return 'poor';
  if (end.kind === 'unsent' || end.kind === 'broken') return 'hurt';
  if (end.kind === 'notRun')
    return end.result.status === 421 ? 'hurt' : end.result.status === 503 || end.result.status === 429 ? 'full' : 'well';
  return end.kind === 'whole' && end.result.status >= 500 ? 'poor' : 'well';
}
