import type { Clock, Counters } from '@pewterlanding/runtime';
import type { RoutingState } from '../updates/routingState.js';
import type { UpstreamAttempt } from './upstreamAttempt.js';

interface AttemptRegistryOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly counters: Counters;
}

interface Registration {
  readonly isIdempotent: boolean;
}

/** The opaque attempts in flight. */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  readonly #attempts = new Map<UpstreamAttempt, Registration>();

  constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  add(attempt: UpstreamAttempt, registration: Registration): void {
    this.#attempts.set(attempt, registration);
  }

  delete(attempt: UpstreamAttempt): void {
    this.#attempts.delete(attempt);
  }

  /** Aborts attempts at replicas that are known to be gone, if the request may run twice or was not sent yet. */
  abortGone(): void {
    if (this.#attempts.size === 0) return;
    for (const [attempt, { isIdempotent }] of this.#attempts) {
      if ((!isIdempotent && attempt.isSent) || !this.#isGone(attempt)) continue;
      this.#options.counters.add('exchange.gone');
      attempt.abort('the replica is gone');
    }
  }

  /** Aborts all attempts. */
  abortAll(): void {
    for (const attempt of this.#attempts.keys()) attempt.abort('the proxy ends');
  }

  /** Response bytes are better evidence of life than missing announcements. */
  #isGone({ key, heardMs }: UpstreamAttempt): boolean {
    const { routingState, clock } = this.#options;
    const failureTimeoutMs = routingState.tables.configuration?.bounds.replicaFailureTimeoutMs ?? Infinity;
    return routingState.silent.has(key) && clock.nowMs() - heardMs >= failureTimeoutMs;
  }
}
