import type { Clock, Counters } from '@pewterlanding/runtime';
import type { AttemptOutcome } from './attemptOutcome.js';

interface OutlierEjectionOptions {
  readonly clock: Clock;
  readonly counters: Counters;
  /** The silence after which a replica counts as gone. Ejection times are ratios of it. */
  readonly failureTimeoutMs: () => number;
}

interface Ejection {
  readonly consecutiveFailures: number;
  readonly untilMs: number;
  /** A half-open probe is in flight. */
  isProbing: boolean;
}

type Failure = Exclude<AttemptOutcome, 'succeeded' | 'unknown'>;

/** Backoff of an ejection as ratios of the failure timeout: doubled from `first` with each consecutive failure up to `longest`. */
interface Backoff {
  readonly first: number;
  readonly longest: number;
}

const failureBackoff: Backoff = { first: 0.05, longest: 2 };
const overloadBackoff: Backoff = { first: 0.02, longest: 0.1 };
/** Counter names stay as they are when the outcomes are renamed. */
const counterNames: Readonly<Record<Failure, string>> = {
  failed: 'replica.hurt',
  overloaded: 'replica.full',
  suspect: 'replica.poor',
};
/** This many suspect outcomes in a row count as failures of the replica. */
const maxSuspect = 3;

/**
 * Outlier ejection with exponential backoff, and a half-open state as in a circuit breaker: once its time is over, an ejected replica
 * gets one request at a time until one succeeds.
 */
export class OutlierEjection {
  readonly #options: OutlierEjectionOptions;
  readonly #ejections = new Map<string, Ejection>();
  readonly #suspectCounts = new Map<string, number>();

  constructor(options: OutlierEjectionOptions) {
    this.#options = options;
  }

  /** Not ejected, or half-open without a probe in flight. */
  isAvailable(key: string, nowMs: number): boolean {
    const ejection = this.#ejections.get(key);
    return ejection === undefined || (!ejection.isProbing && ejection.untilMs <= nowMs);
  }

  consecutiveFailures(key: string): number {
    return this.#ejections.get(key)?.consecutiveFailures ?? 0;
  }

  /** Call when a request is sent: to an ejected replica it is the half-open probe. */
  attemptBegun(key: string): void {
    const ejection = this.#ejections.get(key);
    if (ejection !== undefined) ejection.isProbing = true;
  }

  attemptEnded(key: string, outcome: AttemptOutcome): void {
    if (outcome === 'succeeded') {
      this.#suspectCounts.delete(key);
      this.#ejections.delete(key);
    } else if (outcome === 'unknown' || !this.#isConfirmed(key, outcome)) this.#endProbe(key);
    else this.#eject(key, outcome);
  }

  /** Forgets replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const states of [this.#ejections, this.#suspectCounts]) for (const key of states.keys()) if (!keys.has(key)) states.delete(key);
  }

  /** Whether the replica is the cause: a suspect outcome is confirmed by others before it. */
  #isConfirmed(key: string, outcome: Failure): boolean {
    if (outcome !== 'suspect') return true;
    const count = (this.#suspectCounts.get(key) ?? 0) + 1;
    this.#suspectCounts.set(key, count);
    return count >= maxSuspect;
  }

  #endProbe(key: string): void {
    const ejection = this.#ejections.get(key);
    if (ejection !== undefined) ejection.isProbing = false;
  }

  #eject(key: string, outcome: Failure): void {
    const { clock, counters, failureTimeoutMs } = this.#options;
    const nowMs = clock.nowMs();
    const before = this.#ejections.get(key);
    // Requests that were in flight when the replica was ejected are evidence of the same failure, not of another.
    if (before !== undefined && before.untilMs > nowMs) return;
    const consecutiveFailures = (before?.consecutiveFailures ?? 0) + 1;
    const { first, longest } = outcome === 'overloaded' ? overloadBackoff : failureBackoff;
    const ratio = Math.min(longest, first * 2 ** (consecutiveFailures - 1));
    this.#ejections.set(key, { consecutiveFailures, untilMs: nowMs + failureTimeoutMs() * ratio, isProbing: false });
    counters.add(counterNames[outcome]);
  }
}
