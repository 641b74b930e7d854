interface PendingConfirmation {
  readonly round: number;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Rounds of heartbeats by which a leader confirms that it still leads, for linearizable reads: Raft's ReadIndex. Callers that ask before
 * the next round starts share it.
 */
export class LeadershipConfirmations {
  readonly #startRound: () => void;
  #pending: PendingConfirmation[] = [];
  #round = 0;

  /** `startRound` is called after `round` has moved on. */
  constructor(startRound: () => void) {
    this.#startRound = startRound;
  }

  /** The newest round that was started. */
  get round(): number {
    return this.#round;
  }

  /** Resolves once a round that starts after this call is confirmed. */
  next(): Promise<void> {
    return new Promise((resolve, reject) => {
      if (!this.#pending.some((pending) => pending.round === this.#round + 1)) {
        void Promise.resolve().then(() => {
          this.#round += 1;
          this.#startRound();
        });
      }
      this.#pending.push({ round: this.#round + 1, resolve, reject });
    });
  }

  /** Resolves what waits for rounds up to this one, which a majority has answered. */
  confirm(round: number): void {
    const confirmed = this.#pending.filter((pending) => pending.round <= round);
    if (confirmed.length === 0) return;
    this.#pending = this.#pending.filter((pending) => pending.round > round);
    for (const pending of confirmed) pending.resolve();
  }

  /** Rejects all that wait, each with an error of its own. */
  rejectAll(error: () => Error): void {
    for (const pending of this.#pending) pending.reject(error());
    this.#pending = [];
  }
}
