import type { Clock } from '@pewterlanding/runtime';

interface Score {
  /** 0 after successes only, 1 after failures only. */
  readonly value: number;
  readonly atMs: number;
}

/** Weight of a failure in a replica's average. One proxy sees few outcomes of each replica, so each counts much. */
const failureWeight = 1 / 2;
/** Weight of a success: lower, so that a replica that fails half of its requests keeps a high score. */
const successWeight = 1 / 8;
/** Weight of an outcome in the average over all replicas. */
const meanWeight = 1 / 32;
/** Half-life of a score without new outcomes, as a ratio of the failure timeout: a replica that gets no requests recovers. */
const halfLifeRatio = 1 / 2;
/** A replica is penalised for the part of its score above this multiple of the average. */
const toleratedRatio = 2;
/** Occupancy that is added to a replica that always fails. */
const maxPenalty = 4;

/**
 * Recent failure rate of each replica as seen by this proxy, an exponentially weighted moving average with decay. It finds replicas that
 * fail part of their requests, whose successes end every ejection. Failures that all replicas share, as in an overload, are not penalised.
 */
export class FailureScores {
  readonly #clock: Clock;
  readonly #failureTimeoutMs: () => number;
  readonly #scores = new Map<string, Score>();
  #mean = 0;

  constructor(clock: Clock, failureTimeoutMs: () => number) {
    this.#clock = clock;
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  /** Counts an attempt at the replica with this key. */
  add(key: string, failed: boolean): void {
    const outcome = failed ? 1 : 0;
    this.#mean += (outcome - this.#mean) * meanWeight;
    const current = this.#current(key);
    if (!failed && current === 0) return;
    const weight = failed ? failureWeight : successWeight;
    this.#scores.set(key, { value: current + (outcome - current) * weight, atMs: this.#clock.nowMs() });
  }

  /** Occupancy to add to the replica's. */
  penalty(key: string): number {
    if (this.#scores.size === 0) return 0;
    return Math.max(0, this.#current(key) - this.#mean * toleratedRatio) * maxPenalty;
  }

  /** Forgets replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of this.#scores.keys()) if (!keys.has(key)) this.#scores.delete(key);
  }

  #current(key: string): number {
    const score = this.#scores.get(key);
    if (score === undefined) return 0;
    const halfLifeMs = this.#failureTimeoutMs() * halfLifeRatio;
    return halfLifeMs <= 0 ? 0 : score.value * 0.5 ** ((this.#clock.nowMs() - score.atMs) / halfLifeMs);
  }
}
