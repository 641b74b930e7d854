import { Replica } from '@pewterlanding/agent';
import { renameFields } from '@pewterlanding/model';
import type { Clock, Counters, Disk } from '@pewterlanding/runtime';
import { Journal } from '@pewterlanding/runtime';
import * as v from 'valibot';

interface KnownInstancesOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly counters: Counters;
  /** How long changes are collected before the file is written. */
  readonly writeDelayMs: number;
  readonly instances: () => readonly Replica[];
}

/** The word of format 1 for an instance is part of the file's name. */
const file = 'replica.lives';
const StoredReplicas = v.array(Replica);

/**
 * The instances that a controller knows, in a file of its own. It only shortens the time until fronts can route after all machines
 * were off; without it they wait for the next heartbeats. So nothing waits for a write, and a failed one is only counted.
 */
export class KnownInstances {
  readonly #options: KnownInstancesOptions;
  readonly #journal: Journal;
  #cancelWrite: (() => void) | undefined;
  #isWriting = false;
  #isDirty = false;
  #isClosed = false;

  constructor(options: KnownInstancesOptions) {
    this.#options = options;
    this.#journal = new Journal(options.disk, file);
  }

  /** The instances as of the last write; none where the file is missing or unreadable. */
  async load(): Promise<readonly Replica[]> {
    const { records } = await this.#journal.open();
    const read = v.safeParse(StoredReplicas, renameFields(records.at(-1), { life: 'instance' }));
    return read.success ? read.output : [];
  }

  /** To be called when more than a heartbeat counter has changed. */
  changed(): void {
    this.#isDirty = true;
    if (this.#isWriting || this.#isClosed) return;
    this.#cancelWrite ??= this.#options.clock.after(this.#options.writeDelayMs, () => void this.#write());
  }

  close(): void {
    this.#isClosed = true;
    this.#cancelWrite?.();
  }

  async #write(): Promise<void> {
    const { counters, instances } = this.#options;
    this.#cancelWrite = undefined;
    this.#isDirty = false;
    this.#isWriting = true;
    try {
      await this.#journal.rewrite([instances()]);
    } catch {
      counters.add('replica.livesNotKept');
    } finally {
      this.#isWriting = false;
      if (this.#isDirty) this.changed();
    }
  }
}
