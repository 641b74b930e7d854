import type { Clock } from '@pewterlanding/runtime';
import type { Instance } from './instance.js';
import type { SimMachine } from './simMachine.js';
import type { SimTime } from './simTime.js';

const dateMs = 1_800_000_000_000;

/** The clock of one instance of a process on a machine. */
export class SimClock implements Clock {
  readonly #time: SimTime;
  readonly #machine: SimMachine;
  readonly #instance: Instance;
  readonly #startMs: number;

  constructor(time: SimTime, machine: SimMachine, instance: Instance) {
    this.#time = time;
    this.#machine = machine;
    this.#instance = instance;
    this.#startMs = time.nowMs;
  }

  /** Counts from the start of the process, as a real monotonic clock may. */
  nowMs(): number {
    return this.#time.nowMs - this.#startMs;
  }

  wallMs(): number {
    return dateMs + this.#time.nowMs + this.#machine.skewMs;
  }

  after(waitMs: number, run: () => void): () => void {
    let cancelled = false;
    const cancel = this.#time.after(waitMs, () =>
      this.#machine.run(() => {
        if (!cancelled && !this.#instance.dead) run();
      }),
    );
    return () => {
      cancelled = true;
      cancel();
    };
  }
}
