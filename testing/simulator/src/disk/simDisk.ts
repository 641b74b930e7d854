import type { Disk } from '@pewterlanding/runtime';
import type { Instance, SimTime } from '../engine/index.js';

/** A change of the files that has not been synced yet. */
interface Change {
  /** All of it is on the disk. */
  readonly whole: () => void;
  /** The process or the power ended first: each file that is created, renamed or removed is kept or lost by itself. */
  readonly cutShort: () => void;
  readonly grows: boolean;
}

const usualSyncMs = 1;

/** The disk of a machine, outliving its processes. Only what was synced surely survives a loss of power. */
export class SimDisk {
  readonly #time: SimTime;
  readonly #random: () => number;
  #files = new Map<string, Uint8Array>();
  /** What waits for a disk that answers nothing. */
  #held: (() => void)[] = [];
  #stalled = false;
  /** How long a sync takes. */
  syncMs = usualSyncMs;
  /** It takes no more bytes; what there is can be read and removed. */
  full = false;

  constructor(time: SimTime, random: () => number) {
    this.#time = time;
    this.#random = random;
  }

  /** The disk is gone; an empty one stands in its place. */
  lose(): void {
    this.#files = new Map();
  }

  /** Turns a byte in the middle of a file. */
  damage(file: string): boolean {
    const bytes = this.#files.get(file);
    if (bytes === undefined || bytes.length < 40) return false;
    const copy = bytes.slice();
    copy[12] = (copy[12] ?? 0) ^ 0xff;
    this.#files.set(file, copy);
    return true;
  }

  /** Nothing is answered any more, until it goes on. */
  stall(): void {
    this.#stalled = true;
  }

  goOn(): void {
    this.#stalled = false;
    const held = this.#held;
    this.#held = [];
    for (const finish of held) finish();
  }

  /** Slow, full and stalled no more. */
  mend(): void {
    this.syncMs = usualSyncMs;
    this.full = false;
    this.goOn();
  }

  files(): readonly string[] {
    return [...this.#files.keys()].sort();
  }

  lengthBytes(file: string): number {
    return this.#files.get(file)?.length ?? 0;
  }

  /** The disk as one instance of a process has it. */
  open(instance: Instance): Disk {
    return {
      read: async (file) => this.#files.get(file)?.slice(),
      append: (file, bytes) => this.#change(instance, this.#appending(file, bytes)),
      replace: (file, bytes) =>
        this.#change(
          instance,
          this.#eitherWay(() => void this.#files.set(file, bytes.slice()), true),
        ),
      remove: (file) =>
        this.#change(
          instance,
          this.#eitherWay(() => void this.#files.delete(file), false),
        ),
      list: async () => this.files(),
    };
  }

  /** An append that is cut short is torn; a file that it creates may be lost with its folder's entry. */
  #appending(file: string, bytes: Uint8Array): Change {
    const add = (lengthBytes: number): void => {
      const before = this.#files.get(file) ?? new Uint8Array();
      const after = new Uint8Array(before.length + lengthBytes);
      after.set(before);
      after.set(bytes.subarray(0, lengthBytes), before.length);
      this.#files.set(file, after);
    };
    const cutShort = (): void => {
      if (this.#files.has(file) || this.#kept()) add(Math.floor(bytes.length * this.#random()));
    };
    return { whole: () => add(bytes.length), cutShort, grows: true };
  }

  #eitherWay(change: () => void, grows: boolean): Change {
    const cutShort = (): void => {
      if (this.#kept()) change();
    };
    return { whole: change, cutShort, grows };
  }

  #kept(): boolean {
    return this.#random() < 0.5;
  }

  #change(instance: Instance, change: Change): Promise<void> {
    return new Promise((resolve, reject) => {
      let over = false;
      const home = this.#files;
      instance.onEnd(() => {
        if (over) return;
        over = true;
        if (home === this.#files) change.cutShort();
      });
      const finish = (): void => {
        if (over) return;
        if (this.#stalled) {
          this.#held.push(finish);
          return;
        }
        over = true;
        // A disk lost under the writer takes the write along.
        if (home === this.#files && this.full && change.grows) {
          change.cutShort();
          reject(new Error('ENOSPC: no space left on device'));
          return;
        }
        if (home === this.#files) change.whole();
        resolve();
      };
      this.#time.after(this.syncMs * (0.5 + this.#random()), finish);
    });
  }
}
