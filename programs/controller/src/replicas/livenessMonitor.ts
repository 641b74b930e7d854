import type { Clock, Counters } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { ControllerContacts } from './controllerContacts.js';
import type { HeartbeatExchange } from './heartbeatExchange.js';
import type { ReplicaInstance } from './replicaInstance.js';
import type { ReplicaInstances } from './replicaInstances.js';

interface LivenessMonitorOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly instances: ReplicaInstances;
  readonly contacts: ControllerContacts;
  readonly exchange: HeartbeatExchange;
  readonly checkPeriodMs: number;
  /** An instance without a heartbeat for so long is suspected. */
  readonly silentMs: number;
  /** An instance that is not serving is forgotten after so long; the state table keeps its last state. */
  readonly forgetMs: number;
  /** Publishes that an instance is silent. */
  readonly publishSilent: (key: string, instance: ReplicaInstance) => void;
}

/** A check that comes so many periods after the one before shows that this process was paused. */
const pausedPeriods = 3;

/**
 * Declares instances silent whose heartbeats are missing. As in SWIM, one observer does not decide: more than half of the
 * controllers, this one among them, must have reported after the time had run out, and none a heartbeat. A controller that is cut
 * off gets no reports and so declares nothing.
 */
export class LivenessMonitor {
  readonly #options: LivenessMonitorOptions;
  #checkedMs: number;
  #stop = (): void => undefined;

  constructor(options: LivenessMonitorOptions) {
    this.#options = options;
    this.#checkedMs = options.clock.nowMs();
  }

  /** Starts the periodic checks. */
  start(): void {
    const { clock, checkPeriodMs } = this.#options;
    this.#stop = every(clock, checkPeriodMs, () => this.#check());
  }

  close(): void {
    this.#stop();
  }

  #check(): void {
    const { clock, checkPeriodMs, contacts, exchange, instances } = this.#options;
    const nowMs = clock.nowMs();
    const wasPaused = nowMs - this.#checkedMs > checkPeriodMs * pausedPeriods;
    this.#checkedMs = nowMs;
    // Controllers that watch no instance send no reports, and a paused process has not read those that came: silence proves nothing.
    if (instances.size === 0 || wasPaused) contacts.forget();
    if (instances.size === 0) return;
    contacts.look();
    exchange.sendIfDue(nowMs);
    for (const [key, instance] of instances.entries()) {
      // After a pause the heartbeats that came meanwhile are still unread.
      if (wasPaused) instance.heartbeatMs = nowMs;
      this.#checkInstance(key, instance, nowMs);
    }
  }

  #checkInstance(key: string, instance: ReplicaInstance, nowMs: number): void {
    const { counters, contacts, instances, silentMs, forgetMs, publishSilent } = this.#options;
    const silentForMs = nowMs - instance.heartbeatMs;
    if (instance.replica.state !== 'serving') {
      if (silentForMs > forgetMs) instances.delete(key);
      return;
    }
    if (silentForMs <= silentMs || !contacts.maxSpokeSince(instance.heartbeatMs + silentMs)) return;
    counters.add('replica.wentSilent');
    publishSilent(key, instance);
  }
}
