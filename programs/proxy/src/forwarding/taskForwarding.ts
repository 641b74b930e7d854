import type { Clock, Counters } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { ReplicaTask, ReplicaTransport, RunEnd } from '../connections/index.js';
import type { RetryBudget, SlotPool } from '../selection/index.js';
import type { RoutingState } from '../updates/routingState.js';
import type { Admission } from './admission.js';
import type { LiveTask } from './liveTask.js';
import type { TaskReturn } from './taskReturn.js';

interface TaskForwardingOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly slotPool: SlotPool;
  readonly replicas: ReplicaTransport;
  readonly counters: Counters;
  readonly retries: RetryBudget;
}

interface ForwardingClient {
  readonly task: LiveTask;
  /** Gets the data of each event of a stream. */
  readonly piece: (data: string) => void;
  /** Fires when the client disconnects. */
  readonly abort: AbortSignal;
}

interface Forwarded {
  readonly result: TaskReturn;
  /** Whether a replica may have run the request. */
  readonly ran: boolean;
  /** Bytes of the response body, to charge. */
  readonly bytes: number;
}

type GrantedSlot = Extract<Awaited<ReturnType<SlotPool['enter']>>, { kind: 'room' }>;

const maxAttempts = 3;
/** Interval of the check that a replica is still there, as a ratio of the silence after which it counts as gone. */
const checkRatio = 0.1;

/** Forwards one inspected request: attempts at one replica after another until one completes it or none may follow. */
export class TaskForwarding {
  readonly #options: TaskForwardingOptions;
  readonly #admission: Admission;
  readonly #client: ForwardingClient;
  /** End of the time to wait for slots. */
  readonly #expiryMs: number;
  /** Keys of the replicas that attempts failed at. */
  readonly #failedAt = new Set<string>();
  #mayHaveRun = false;
  #pieceCount = 0;
  #lastEnd: RunEnd = { kind: 'unsent' };

  constructor(options: TaskForwardingOptions, admission: Admission, client: ForwardingClient) {
    this.#options = options;
    this.#admission = admission;
    this.#client = client;
    this.#expiryMs = options.clock.nowMs() + admission.rule.waitMs;
  }

  async run(): Promise<Forwarded> {
    const { routingState } = this.#options;
    const { abort } = this.#client;
    for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
      // With no replica left the client gets its response now and not when its time is over.
      if (attempts > 0 && !this.#mayRetry()) break;
      const granted = await this.#waitForSlot();
      if (granted.kind !== 'room') {
        if (attempts > 0) break;
        return this.#forwarded(this.#refused(granted.kind === 'shed' ? 'too many waiting' : 'no room'));
      }
      try {
        // The routing tables may have become stale during the wait, or the process may have been suspended.
        if (!routingState.isFresh() || abort.aborted) break;
        const end = await this.#attempt(granted);
        const forwarded = this.#judge(end, granted);
        if (forwarded !== undefined) return forwarded;
      } finally {
        granted.leave();
      }
    }
    return this.#forwarded(this.#failed());
  }

  #mayRetry(): boolean {
    const { slotPool, retries } = this.#options;
    return slotPool.offers(this.#client.task.service, this.#failedAt) && retries.takeRetry();
  }

  #waitForSlot(): ReturnType<SlotPool['enter']> {
    const { slotPool, clock } = this.#options;
    const waitMs = Math.max(0, this.#expiryMs - clock.nowMs());
    return slotPool.enter(this.#client.task.service, this.#admission.quota, 'live', waitMs, this.#failedAt, this.#client.abort);
  }

  /** Runs one attempt, and ends it once its replica is gone: a client should not wait for the whole run time then. */
  async #attempt({ address }: GrantedSlot): Promise<RunEnd> {
    const { clock, routingState, replicas, counters } = this.#options;
    const { task, abort } = this.#client;
    const { rule } = this.#admission;
    const attempt: ReplicaTask = { id: task.id, service: task.service, rule, address, input: task.input };
    const attemptAbort = new AbortController();
    const leave = (): void => attemptAbort.abort();
    abort.addEventListener('abort', leave);
    const failureTimeoutMs = routingState.tables.configuration?.bounds.replicaFailureTimeoutMs ?? rule.runMs;
    let heardMs = clock.nowMs();
    const stopCheck = every(clock, failureTimeoutMs * checkRatio, () => {
      // Events that arrive are better evidence of life than missing announcements.
      if (!routingState.gone(task.service, address) || clock.nowMs() - heardMs < failureTimeoutMs) return;
      counters.add('try.gone');
      attemptAbort.abort();
    });
    const piece = (data: string): void => {
      heardMs = clock.nowMs();
      this.#pieceCount += 1;
      this.#client.piece(data);
    };
    try {
      return await replicas.run(attempt, piece, attemptAbort.signal);
    } finally {
      stopCheck();
      abort.removeEventListener('abort', leave);
    }
  }

  /** What the client gets after this attempt; undefined when another one may follow. */
  #judge(end: RunEnd, { key, address }: GrantedSlot): Forwarded | undefined {
    const { counters, slotPool } = this.#options;
    const { rule } = this.#admission;
    const isNotRun = end.kind === 'unsent' || (end.kind === 'status' && rule.notRun.includes(end.status));
    this.#lastEnd = end;
    this.#mayHaveRun ||= !isNotRun;
    if (end.kind === 'done') {
      const result: TaskReturn = rule.kind === 'whole' ? { kind: 'whole', body: end.body } : { kind: 'streamed' };
      return { result, ran: true, bytes: end.bytes };
    }
    counters.add(`try.${end.kind}`);
    this.#failedAt.add(key);
    if (end.kind === 'unsent' || end.kind === 'broken') slotPool.eject(address);
    if (this.#pieceCount > 0) return this.#cut(end);
    // A request that may not run twice is repeated only if the replica cannot have run it.
    if (!rule.idempotent && !isNotRun)
      return this.#forwarded({ kind: 'failed', status: 504, reason: 'outcome unknown: the replica may have run it' });
    return undefined;
  }

  /** A stream of which events were passed on is not repeated. */
  #cut(end: Exclude<RunEnd, { kind: 'done' }>): Forwarded {
    const reason = end.kind === 'broken' ? end.reason : end.kind;
    const result: TaskReturn = { kind: 'cut', reason };
    return { result, ran: this.#mayHaveRun, bytes: end.kind === 'broken' ? end.bytes : 0 };
  }

  #failed(): TaskReturn {
    if (!this.#mayHaveRun) return this.#refused('no replica took it');
    const reason = this.#lastEnd.kind === 'broken' ? this.#lastEnd.reason : 'the replica failed';
    return { kind: 'failed', status: 502, reason };
  }

  #refused(reason: string): TaskReturn {
    return { kind: 'refused', status: 503, reason, retryAfterMs: this.#options.slotPool.retryAfterMs(this.#client.task.service) };
  }

  #forwarded(result: TaskReturn): Forwarded {
    return { result, ran: this.#mayHaveRun, bytes: 0 };
  }
}
