import type { SimTime } from './simTime.js';

/** What a job costs a machine's processor that runs at its full speed, before the slowness of the machine multiplies it. */
const jobMs = 0.05;

/** A machine: can be frozen, slowed, and have its date stepped. What was due while it stood still happens at the waking, in order. */
export class SimMachine {
  readonly name: string;
  readonly zone: string;
  readonly #time: SimTime;
  /** How far this machine's date is off from its start on. */
  readonly #skewMs: number;
  /** How far its date was stepped. */
  steppedMs = 0;
  /** Without power nothing answers, not even with a refusal. */
  powered = true;
  /** How much longer every job takes than on a machine of full speed, at which jobs take no time. */
  slowRatio = 1;
  #freeAtMs = 0;
  #frozen = false;
  #due: (() => void)[] = [];

  constructor(name: string, zone: string, skewMs: number, time: SimTime) {
    this.name = name;
    this.zone = zone;
    this.#skewMs = skewMs;
    this.#time = time;
  }

  get frozen(): boolean {
    return this.#frozen;
  }

  /** How far this machine's date is off. */
  get skewMs(): number {
    return this.#skewMs + this.steppedMs;
  }

  freeze(): void {
    this.#frozen = true;
  }

  wake(): void {
    this.#frozen = false;
    const due = this.#due;
    this.#due = [];
    for (const run of due) this.#time.after(0, () => this.run(run));
  }

  /** Runs something on this machine: now, when it wakes, or after all that a slow one has yet to do. */
  run(job: () => void): void {
    if (this.#frozen) {
      this.#due.push(job);
      return;
    }
    const { nowMs } = this.#time;
    if (this.slowRatio === 1 && this.#freeAtMs <= nowMs) {
      job();
      return;
    }
    this.#freeAtMs = Math.max(nowMs, this.#freeAtMs) + jobMs * this.slowRatio;
    this.#time.after(this.#freeAtMs - nowMs, () => this.#perform(job));
  }

  #perform(job: () => void): void {
    if (this.#frozen) this.#due.push(job);
    else job();
  }
}
