import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { Update } from '../state-table/index.js';

interface BatchedUpdate {
  readonly update: Update;
  /** The node it was received from. */
  readonly from: NodeName;
}

interface UpdateBatcherOptions {
  readonly clock: Clock;
  /** How long updates wait for others to be sent with; volatile ones may wait longer. */
  readonly lastingMs: number;
  readonly volatileMs: () => number;
  readonly send: (batch: readonly BatchedUpdate[]) => void;
}

/**
 * Batches the updates that are relayed along the tree. The first is sent at once; those that follow wait for each other, or a burst
 * would cost one message each on every link. In a large cluster there is always a next one: then one message goes per wait.
 */
export class UpdateBatcher {
  readonly #options: UpdateBatcherOptions;
  #pending: BatchedUpdate[] = [];
  #dueMs = Number.NEGATIVE_INFINITY;
  #cancel: (() => void) | undefined;

  constructor(options: UpdateBatcherOptions) {
    this.#options = options;
  }

  /** Adds updates; they are sent at once where nothing was sent lately. */
  add(updates: readonly BatchedUpdate[]): void {
    this.#pending.push(...updates);
    const { clock, lastingMs } = this.#options;
    if (this.#cancel === undefined) this.flush();
    else if (updates.some(({ update }) => !update.volatile) && this.#dueMs > clock.nowMs() + lastingMs) this.#wait(lastingMs);
  }

  /** Sends what waits, and starts the next wait. */
  flush(): void {
    const batch = this.#pending;
    this.#pending = [];
    this.#cancel?.();
    this.#cancel = undefined;
    if (batch.length === 0) return;
    const { lastingMs, volatileMs, send } = this.#options;
    this.#wait(batch.every(({ update }) => update.volatile) ? volatileMs() : lastingMs);
    const newest = new Map(batch.map((batched) => [batched.update.key, batched]));
    // Of each key only the newest is sent, unless that is a change, which needs the version that it starts from.
    send(
      batch.filter((batched) => {
        const last = newest.get(batched.update.key);
        return last === batched || last?.update.change !== undefined;
      }),
    );
  }

  /** Drops what waits. */
  close(): void {
    this.#cancel?.();
  }

  #wait(waitMs: number): void {
    const { clock } = this.#options;
    this.#cancel?.();
    this.#dueMs = clock.nowMs() + waitMs;
    this.#cancel = clock.after(waitMs, () => this.flush());
  }
}
