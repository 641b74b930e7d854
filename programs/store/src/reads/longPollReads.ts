import type { BatchId } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';

/** Reads that wait at the leader for a lot's next outcome: woken by it, or over after their time. */
export class LongPollReads {
  readonly #clock: Clock;
  readonly #limit: number;
  readonly #held = new Map<BatchId, Set<() => void>>();
  #count = 0;

  constructor(clock: Clock, limit: number) {
    this.#clock = clock;
    this.#limit = limit;
  }

  get count(): number {
    return this.#count;
  }

  /** Over the bound a read is not held at all: it is answered with what is there. */
  hold(batch: BatchId, holdMs: number): Promise<void> {
    if (this.#count >= this.#limit || holdMs <= 0) return Promise.resolve();
    return new Promise((resolve) => {
      const held = this.#held.get(batch) ?? new Set();
      this.#held.set(batch, held);
      this.#count += 1;
      const over = (): void => {
        cancel();
        if (!held.delete(over)) return;
        this.#count -= 1;
        if (held.size === 0 && this.#held.get(batch) === held) this.#held.delete(batch);
        resolve();
      };
      const cancel = this.#clock.after(holdMs, over);
      held.add(over);
    });
  }

  wake(batch: BatchId): void {
    for (const over of [...(this.#held.get(batch) ?? [])]) over();
  }
}
