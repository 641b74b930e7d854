import { SimTime } from '../engine/index.js';

/** Time for a disk whose writes end only when they are chosen to, one after the other. */
export class ManualTime extends SimTime {
  readonly #jobs: (() => void)[] = [];

  get waiting(): number {
    return this.#jobs.length;
  }

  override after(_waitMs: number, run: () => void): () => void {
    this.#jobs.push(run);
    return () => {
      const position = this.#jobs.indexOf(run);
      if (position >= 0) this.#jobs.splice(position, 1);
    };
  }

  runNext(): void {
    this.#jobs.shift()?.();
  }

  /** What waits belongs to a process that has ended. */
  clear(): void {
    this.#jobs.length = 0;
  }
}
