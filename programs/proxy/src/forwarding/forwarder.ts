import { QuotaName, check } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { ReplicaTransport } from '../connections/index.js';
import type { LocalQuota } from '../quota/localQuota.js';
import { RetryBudget } from '../selection/index.js';
import type { SlotPool } from '../selection/index.js';
import type { RoutingState } from '../updates/routingState.js';
import type { Admission } from './admission.js';
import type { LiveTask } from './liveTask.js';
import { TaskForwarding } from './taskForwarding.js';
import type { TaskReturn } from './taskReturn.js';

interface ForwarderOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly slotPool: SlotPool;
  readonly localQuota: LocalQuota;
  readonly replicas: ReplicaTransport;
  readonly counters: Counters;
}

/** The platform checks readiness once a second; after that it sends clients to another proxy. */
const notReadyRetryMs = 1000;

/** Live path of inspected requests: admit, charge the quota, wait for a slot, attempt, respond. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #retries = new RetryBudget();
  #running = 0;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /** Requests being handled. */
  get running(): number {
    return this.#running;
  }

  /** Handles a request; `piece` gets the data of each event of a stream, `abort` fires when the client disconnects. */
  async carry(task: LiveTask, piece: (data: string) => void, abort: AbortSignal): Promise<TaskReturn> {
    this.#running += 1;
    const result = await this.#handle(task, piece, abort).finally(() => {
      this.#running -= 1;
    });
    const status = 'status' in result ? `.${result.status}` : '';
    this.#options.counters.add(`live.${result.kind}${status}`);
    return result;
  }

  async #handle(task: LiveTask, piece: (data: string) => void, abort: AbortSignal): Promise<TaskReturn> {
    const { localQuota } = this.#options;
    const admission = this.#admit(task);
    if (admission.kind !== 'admitted') return admission;
    const { quota, rule, cost } = admission;
    const charged = await localQuota.take(quota, cost, rule.waitMs);
    if (!charged.ok) return { kind: 'refused', status: 429, reason: 'over budget', retryAfterMs: charged.retryAfterMs };
    const forwarding = new TaskForwarding({ ...this.#options, retries: this.#retries }, admission, { task, piece, abort });
    const { result, ran, bytes } = await forwarding.run();
    if (!ran) localQuota.put(quota, cost);
    else localQuota.settle(quota, cost.tokens - Math.ceil((task.input.length + bytes) / rule.bytesPerToken));
    return result;
  }

  #admit(task: LiveTask): Admission | TaskReturn {
    const { routingState } = this.#options;
    const { configuration, tree, outputTokens } = routingState.tables;
    if (configuration === undefined || !routingState.isFresh())
      return { kind: 'refused', status: 503, reason: 'this proxy is not ready', retryAfterMs: notReadyRetryMs };
    const quota = check(QuotaName, task.quota);
    if (!quota.ok || !tree.has(quota.value)) return { kind: 'refused', status: 403, reason: 'no such quota' };
    const rule = configuration.services[task.service];
    if (rule === undefined) return { kind: 'refused', status: 404, reason: 'no such service' };
    if (task.input.length > rule.maxTaskBytes) return { kind: 'refused', status: 413, reason: 'the task is too large' };
    const expectedOutput = outputTokens.get(task.service) ?? rule.outputTokens;
    const tokens = Math.ceil(task.input.length / rule.bytesPerToken + expectedOutput);
    this.#retries.requestBegun(configuration.bounds.retryRatio);
    return { kind: 'admitted', quota: quota.value, rule, cost: { requests: 1, tokens } };
  }
}
