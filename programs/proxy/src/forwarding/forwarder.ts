import { QuotaName, check } from '@pewterlanding/model';
import { every } from '@pewterlanding/runtime';
import type { Service } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { Cost } from '@pewterlanding/rate-limit';
import type { LiveTask } from './liveTask.js';
import type { RoutingState } from '../updates/routingState.js';
import type { ReplicaTask } from '../connections/replicaTask.js';
import type { ReplicaTransport } from '../connections/replicaTransport.js';
import { RetryBudget } from '../selection/retryBudget.js';
import type { SlotPool } from '../selection/slotPool.js';
import type { RunEnd } from '../connections/runEnd.js';
import type { LocalQuota } from '../quota/localQuota.js';
import type { TaskReturn } from './taskReturn.js';

interface ForwarderOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly slotPool: SlotPool;
  readonly localQuota: LocalQuota;
  readonly replicas: ReplicaTransport;
  readonly counters: Counters;
}

interface Admitted {
  readonly quota: QuotaName;
  readonly rule: Service;
  readonly cost: Cost;
}

const maxAttempts = 3;
/** The platform looks once a second who is ready; by then it sends callers elsewhere. */
const pollMs = 1000;
/** How often a try looks whether its replica is still there, as a shard of the silence after which it is gone. */
const lookRatio = 0.1;

/** The live path: admit, pay, wait for room, try, return. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #retries = new RetryBudget();
  #running = 0;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  get running(): number {
    return this.#running;
  }

  async carry(task: LiveTask, piece: (data: string) => void, abort: AbortSignal): Promise<TaskReturn> {
    this.#running += 1;
    const result = await this.#carry(task, piece, abort).finally(() => {
      this.#running -= 1;
    });
    this.#options.counters.add(`live.${result.kind}${'status' in result ? `.${result.status}` : ''}`);
    return result;
  }

  async #carry(task: LiveTask, piece: (data: string) => void, abort: AbortSignal): Promise<TaskReturn> {
    const admitted = this.#admit(task);
    if ('kind' in admitted) return admitted;
    const { quota, rule, cost } = admitted;
    const taken = await this.#options.localQuota.take(quota, cost, rule.waitMs);
    if (!taken.ok) return { kind: 'refused', status: 429, reason: 'over budget', retryAfterMs: taken.retryAfterMs };
    const { result, ran, bytes } = await this.#try(task, admitted, piece, abort);
    if (!ran) this.#options.localQuota.put(quota, cost);
    else this.#options.localQuota.settle(quota, cost.tokens - Math.ceil((task.input.length + bytes) / rule.bytesPerToken));
    return result;
  }

  /** Runs one try, and breaks it off once its replica has fallen silent: who waits on must not wait for the task's whole time. */
  async #run(task: ReplicaTask, abort: AbortSignal, piece: (data: string) => void): Promise<RunEnd> {
    const { clock, routingState, replicas, counters } = this.#options;
    const over = new AbortController();
    const leave = (): void => over.abort();
    abort.addEventListener('abort', leave);
    const failureTimeoutMs = routingState.tables.configuration?.bounds.replicaFailureTimeoutMs ?? task.rule.runMs;
    let heardMs = clock.nowMs();
    const stop = every(clock, failureTimeoutMs * lookRatio, () => {
      // Pieces that come are a better sign of life than announcements that do not.
      if (!routingState.gone(task.service, task.address) || clock.nowMs() - heardMs < failureTimeoutMs) return;
      counters.add('try.gone');
      over.abort();
    });
    try {
      return await replicas.run(
        task,
        (data) => {
          heardMs = clock.nowMs();
          piece(data);
        },
        over.signal,
      );
    } finally {
      stop();
      abort.removeEventListener('abort', leave);
    }
  }

  #admit(task: LiveTask): Admitted | TaskReturn {
    const { routingState } = this.#options;
    const { configuration, tree, outputTokens } = routingState.tables;
    if (configuration === undefined || !routingState.fresh())
      return { kind: 'refused', status: 503, reason: 'this front is not ready', retryAfterMs: pollMs };
    const quota = check(QuotaName, task.quota);
    if (!quota.ok || !tree.has(quota.value)) return { kind: 'refused', status: 403, reason: 'no such branch' };
    const rule = configuration.services[task.service];
    if (rule === undefined) return { kind: 'refused', status: 404, reason: 'no such service' };
    if (task.input.length > rule.maxTaskBytes) return { kind: 'refused', status: 413, reason: 'the task is too large' };
    const tokens = Math.ceil(task.input.length / rule.bytesPerToken + (outputTokens.get(task.service) ?? rule.outputTokens));
    this.#retries.task(configuration.bounds.retryRatio);
    return { quota: quota.value, rule, cost: { requests: 1, tokens } };
  }

  async #try(
    task: LiveTask,
    admitted: Admitted,
    piece: (data: string) => void,
    abort: AbortSignal,
  ): Promise<{ readonly result: TaskReturn; readonly ran: boolean; readonly bytes: number }> {
    const { routingState, slotPool, clock, counters } = this.#options;
    const { quota, rule } = admitted;
    const expiryMs = clock.nowMs() + rule.waitMs;
    const without = new Set<string>();
    let ran = false;
    let pieces = 0;
    let last: RunEnd = { kind: 'unsent' };
    for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
      // With nobody left to try, the caller is told now and not at its expiry.
      if (attempts > 0 && (!slotPool.offers(task.service, without) || !this.#retries.take())) break;
      const granted = await slotPool.enter(task.service, quota, 'live', Math.max(0, expiryMs - clock.nowMs()), without, abort);
      if (granted.kind !== 'room') {
        if (attempts > 0) break;
        return {
          result: {
            kind: 'refused',
            status: 503,
            reason: granted.kind === 'shed' ? 'too many waiting' : 'no room',
            retryAfterMs: slotPool.retryAfterMs(task.service),
          },
          ran,
          bytes: 0,
        };
      }
      try {
        // The wait may have outlasted the freshness, or this machine may have been frozen in it.
        if (!routingState.fresh() || abort.aborted) break;
        const end = await this.#run(
          { id: task.id, service: task.service, rule, address: granted.address, input: task.input },
          abort,
          (data) => {
            pieces += 1;
            piece(data);
          },
        );
        last = end;
        const notRun = end.kind === 'unsent' || (end.kind === 'status' && rule.notRun.includes(end.status));
        ran ||= !notRun;
        if (end.kind === 'done')
          return { result: rule.kind === 'whole' ? { kind: 'whole', body: end.body } : { kind: 'streamed' }, ran: true, bytes: end.bytes };
        counters.add(`try.${end.kind}`);
        without.add(granted.key);
        if (end.kind === 'unsent' || end.kind === 'broken') slotPool.hurt(granted.address);
        if (pieces > 0)
          return {
            result: { kind: 'cut', reason: end.kind === 'broken' ? end.reason : end.kind },
            ran,
            bytes: end.kind === 'broken' ? end.bytes : 0,
          };
        // What may not run twice is tried again only where it surely did not run.
        if (!rule.idempotent && !notRun)
          return { result: { kind: 'failed', status: 504, reason: 'outcome unknown: the replica may have run it' }, ran, bytes: 0 };
      } finally {
        granted.leave();
      }
    }
    if (!ran)
      return {
        result: { kind: 'refused', status: 503, reason: 'no replica took it', retryAfterMs: slotPool.retryAfterMs(task.service) },
        ran,
        bytes: 0,
      };
    return { result: { kind: 'failed', status: 502, reason: last.kind === 'broken' ? last.reason : 'the replica failed' }, ran, bytes: 0 };
  }
}
