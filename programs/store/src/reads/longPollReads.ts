import type { BatchId } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';

/** Long polls that wait at the leader for a batch's next outcome, or for their timeout. */
export class LongPollReads {
  readonly #clock: Clock;
  readonly #limit: number;
  readonly #waiting = new Map<BatchId, Set<() => void>>();
  #count = 0;

  constructor(clock: Clock, limit: number) {
    this.#clock = clock;
    this.#limit = limit;
  }

  get count(): number {
    return this.#count;
  }

  /** Resolves at the next `wake` of the batch or after `holdMs`; at once if as many reads as the limit wait already. */
  hold(batch: BatchId, holdMs: number): Promise<void> {
    if (this.#count >= this.#limit || holdMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(batch) ?? new Set();
      this.#waiting.set(batch, waiting);
      this.#count += 1;
      const over = (): void => {
        cancel();
        if (!waiting.delete(over)) return;
        this.#count -= 1;
        if (waiting.size === 0 && this.#waiting.get(batch) === waiting) this.#waiting.delete(batch);
        resolve();
      };
      const cancel = this.#clock.after(holdMs, over);
      waiting.add(over);
    });
  }

  wake(batch: BatchId): void {
    for (const over of [...(this.#waiting.get(batch) ?? [])]) over();
  }
}
