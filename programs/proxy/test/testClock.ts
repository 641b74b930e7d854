import type { Clock } from '@pewterlanding/runtime';

/** Time that stands still until it is moved to the next timer. */
export class TestClock implements Clock {
  readonly #timers = new Map<number, { readonly atMs: number; readonly run: () => void }>();
  #nowMs = 0;
  #count = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.#nowMs;
  }

  after(waitMs: number, run: () => void): () => void {
    this.#count += 1;
    const timer = this.#count;
    this.#timers.set(timer, { atMs: this.#nowMs + Math.max(0, waitMs), run });
    return () => void this.#timers.delete(timer);
  }

  /** Moves time on, over all timers up to then. */
  advance(waitMs: number): void {
    let isOver = false;
    this.after(waitMs, () => {
      isOver = true;
    });
    while (!isOver) this.next();
  }

  /** Runs the earliest timer at its time. False when there is none. */
  next(): boolean {
    const [first] = [...this.#timers].sort(([a, one], [b, other]) => one.atMs - other.atMs || a - b);
    if (first === undefined) return false;
    const [timer, { atMs, run }] = first;
    this.#timers.delete(timer);
    this.#nowMs = Math.max(this.#nowMs, atMs);
    run();
    return true;
  }
}
