import { Replica } from '@pewterlanding/agent';
import { renameFields } from '@pewterlanding/model';
import type { Clock, Counters, Disk } from '@pewterlanding/runtime';
import { Journal } from '@pewterlanding/runtime';
import * as v from 'valibot';

interface KnownInstancesOptions {
  readonly disk: Disk;
  readonly clock: Clock;
  readonly counters: Counters;
  /** How long changes are gathered before the file is written. */
  readonly gatherMs: number;
  readonly instances: () => readonly Replica[];
}

const file = 'replica.lives';
const Kept = v.array(Replica);

/**
 * The lives that a controller knows, in a file beside the shards. It only helps fronts over the first moments after all
 * machines were off; who lost it waits for the replicas' next words. So nothing waits for its writing.
 */
export class KnownInstances {
  readonly #options: KnownInstancesOptions;
  readonly #journal: Journal;
  #cancel: (() => void) | undefined;
  #writing = false;
  #again = false;
  #closed = false;

  constructor(options: KnownInstancesOptions) {
    this.#options = options;
    this.#journal = new Journal(options.disk, file);
  }

  /** What was known when the file was last written. */
  async recall(): Promise<readonly Replica[]> {
    const { records } = await this.#journal.open();
    const read = v.safeParse(Kept, renameFields(records.at(-1), { life: 'instance' }));
    return read.success ? read.output : [];
  }

  /** More than a counter has changed. */
  changed(): void {
    this.#again = true;
    if (this.#writing || this.#closed) return;
    this.#cancel ??= this.#options.clock.after(this.#options.gatherMs, () => void this.#write());
  }

  close(): void {
    this.#closed = true;
    this.#cancel?.();
  }

  async #write(): Promise<void> {
    const { counters, instances } = this.#options;
    this.#cancel = undefined;
    this.#again = false;
    this.#writing = true;
    try {
      await this.#journal.rewrite([instances()]);
    } catch {
      counters.add('replica.livesNotKept');
    } finally {
      this.#writing = false;
      if (this.#again) this.changed();
    }
  }
}
