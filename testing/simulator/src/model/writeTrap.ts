import type { Disk } from '@pewterlanding/runtime';
import type { SimMachine, SimTime } from '../engine/index.js';

/** Well inside the shortest sync, so that the process ends while its write is on the way. */
const insideWriteMs = 0.1;

/** Stands between a process and its disk: ends the process at a write that was chosen, and keeps a frozen one from going on. */
export class WriteTrap {
  readonly #time: SimTime;
  readonly #machine: SimMachine;
  readonly #kill: () => void;
  #left = 0;
  #after = false;
  #sprung = (): void => undefined;

  constructor(time: SimTime, machine: SimMachine, kill: () => void) {
    this.#time = time;
    this.#machine = machine;
    this.#kill = kill;
  }

  /** Ends the process at its `writes`-th write from now on: in the middle of it, or when it is on the disk and nobody knows yet. */
  arm(writes: number, after: boolean, sprung: () => void): void {
    this.#left = writes;
    this.#after = after;
    this.#sprung = sprung;
  }

  disarm(): void {
    this.#left = 0;
  }

  wrap(disk: Disk): Disk {
    return {
      read: (file) => disk.read(file),
      list: () => disk.list(),
      append: (file, bytes) => this.#write(() => disk.append(file, bytes)),
      replace: (file, bytes) => this.#write(() => disk.replace(file, bytes)),
      remove: (file) => this.#write(() => disk.remove(file)),
    };
  }

  async #write(write: () => Promise<void>): Promise<void> {
    const sprung = this.#left === 1;
    if (this.#left > 0) this.#left -= 1;
    if (sprung && !this.#after) this.#time.after(insideWriteMs, () => this.#spring());
    await write();
    if (sprung && this.#after) {
      this.#spring();
      await new Promise(() => undefined);
    }
    await new Promise<void>((resolve) => this.#machine.run(resolve));
  }

  #spring(): void {
    this.#kill();
    this.#sprung();
  }
}
