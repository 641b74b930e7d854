import type { NodeName } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { Update } from '../state-table/update.js';

interface Gathered {
  readonly update: Update;
  readonly from: NodeName;
}

interface GatheringOptions {
  readonly clock: Clock;
  /** How long news wait for others to go with; volatile ones may wait longer. */
  readonly lastingMs: number;
  readonly volatileMs: () => number;
  readonly send: (all: readonly Gathered[]) => void;
}

/**
 * News on their way along the tree. The first go at once; those that follow wait for each other, or a burst would cost
 * a message each on every link. In a large fleet something always follows: then one message goes in every wait.
 */
export class UpdateBatcher {
  readonly #options: GatheringOptions;
  #all: Gathered[] = [];
  #dueMs = Number.NEGATIVE_INFINITY;
  #cancel: (() => void) | undefined;

  constructor(options: GatheringOptions) {
    this.#options = options;
  }

  add(all: readonly Gathered[]): void {
    this.#all.push(...all);
    const { clock, lastingMs } = this.#options;
    if (this.#cancel === undefined) this.flush();
    else if (all.some(({ update }) => !update.volatile) && this.#dueMs > clock.nowMs() + lastingMs) this.#wait(lastingMs);
  }

  flush(): void {
    const all = this.#all;
    this.#all = [];
    this.#cancel?.();
    this.#cancel = undefined;
    if (all.length === 0) return;
    const { lastingMs, volatileMs, send } = this.#options;
    this.#wait(all.every(({ update }) => update.volatile) ? volatileMs() : lastingMs);
    const newest = new Map(all.map((one) => [one.update.key, one]));
    // Of each key only the newest goes on, unless that is a change, which needs the version that it starts at.
    send(all.filter((one) => newest.get(one.update.key) === one || newest.get(one.update.key)?.update.change !== undefined));
  }

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
