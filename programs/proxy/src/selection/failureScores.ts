import type { Clock } from '@pewterlanding/runtime';

interface Score {
  /** 0 after successes only, 1 after failures only. */
  readonly value: number;
  readonly atMs: number;
}

/** A failure moves a replica's score by this part of the way. A front sees few outcomes of each replica, so it learns fast. */
const failureWeight = 1 / 2;
/** A success counts for less: a replica that fails half of its requests succeeds as often, and is not to be trusted for that. */
const successWeight = 1 / 8;
/** The same for all replicas together. */
const allWeight = 1 / 32;
/** Of the failure timeout, the time in which a score that is not renewed halves: so a replica left alone comes back. */
const halfLifeRatio = 1 / 2;
/** A replica fails more than others do when its score is above so many times that of all. */
const overAll = 2;
/** A replica that always fails counts as fuller by so many times its slots. */
const maxPenalty = 4;

/**
 * How many of the attempts at each replica failed of late, seen from this front. A replica may fail a part of its requests, or fall
 * mute for a part of its callers, while every other request goes well: a pause after each failure that the next success ends finds
 * no such replica, a share of failures does. What all replicas do alike (an overload, say) is held against none.
 */
export class FailureScores {
  readonly #clock: Clock;
  readonly #failureTimeoutMs: () => number;
  readonly #scores = new Map<string, Score>();
  #all = 0;

  constructor(clock: Clock, failureTimeoutMs: () => number) {
    this.#clock = clock;
    this.#failureTimeoutMs = failureTimeoutMs;
  }

  add(key: string, failed: boolean): void {
    const outcome = failed ? 1 : 0;
    this.#all += (outcome - this.#all) * allWeight;
    const now = this.#now(key);
    if (!failed && now === 0) return;
    this.#scores.set(key, { value: now + (outcome - now) * (failed ? failureWeight : successWeight), atMs: this.#clock.nowMs() });
  }

  /** What to add to the replica's occupancy. */
  penalty(key: string): number {
    if (this.#scores.size === 0) return 0;
    return Math.max(0, this.#now(key) - this.#all * overAll) * maxPenalty;
  }

  /** Forgets replicas that are gone. */
  retain(keys: ReadonlySet<string>): void {
    for (const key of this.#scores.keys()) if (!keys.has(key)) this.#scores.delete(key);
  }

  #now(key: string): number {
    const score = this.#scores.get(key);
    if (score === undefined) return 0;
    const halfLifeMs = this.#failureTimeoutMs() * halfLifeRatio;
    return halfLifeMs <= 0 ? 0 : score.value * 0.5 ** ((this.#clock.nowMs() - score.atMs) / halfLifeMs);
  }
}
