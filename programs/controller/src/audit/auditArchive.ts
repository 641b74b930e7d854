import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Disk, Transport } from '@pewterlanding/runtime';
import { every, Journal, SerialQueue } from '@pewterlanding/runtime';
import type { AuditHead } from './auditHead.js';
import { AuditLine } from './auditLine.js';
import { controllerCalls } from '../controllerCalls.js';

const file = 'setup.audit';
/** Lines asked of another controller at once: a few hundred kilobytes, far below what one message may hold. */
const linesAtOnce = 256;

interface AuditArchiveOptions {
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly failureTimeoutMs: number;
  /** The end of the trail as the setup shard holds it here. */
  readonly head: () => AuditHead;
  /** The other controllers. */
  readonly peers: () => readonly Address[];
}

/**
 * The audit trail as this machine keeps it, in a file of its own beside the setup shard's. The replicated state holds only the
 * length and the hash of the chain, so it doesn't grow with the number of changes. What this file lacks (an empty disk, a snapshot
 * that jumped over entries) is asked of the other controllers; the chain of hashes shows whether what came is the trail.
 */
export class AuditArchive {
  readonly #options: AuditArchiveOptions;
  readonly #journal: Journal;
  readonly #queue = new SerialQueue();
  readonly #stop: () => void;
  /** Versions that the file holds: all up to `#through`, and single ones above. */
  readonly #above = new Set<number>();
  #through = 0;
  #filling: Promise<void> | undefined;

  constructor(options: AuditArchiveOptions) {
    this.#options = options;
    this.#journal = new Journal(options.disk, file);
    this.#queue.run(() => this.#open()).catch(() => options.counters.add('controller.auditUnreadable'));
    options.transport.serve(controllerCalls.auditLines, async ({ after, limit }) => ({ lines: [...(await this.#held(after, limit))] }));
    this.#stop = every(options.clock, options.failureTimeoutMs, () => this.#fill());
  }

  close(): void {
    this.#stop();
  }

  /** Writes lines that the file doesn't hold yet. Nobody waits for it: the newest lines stand in the replicated state as well. */
  keep(lines: readonly AuditLine[]): void {
    this.#queue.run(() => this.#append(lines)).catch(() => this.#options.counters.add('controller.auditNotKept'));
  }

  /** The newest lines in order, up to the end of the trail, asking other controllers for what this machine lacks. */
  async newest(limit: number): Promise<readonly AuditLine[]> {
    this.keep(this.#options.head().newest);
    await this.#fill();
    return this.#held(Math.max(0, this.#options.head().entries - limit), limit);
  }

  async #open(): Promise<void> {
    const { damaged, records } = await this.#journal.open();
    if (damaged) {
      // The other controllers have it all.
      this.#options.counters.add('controller.auditDamaged');
      await this.#journal.rewrite([]);
    }
    for (const line of readLines(records)) this.#note(line.confirmation.version);
  }

  async #append(lines: readonly AuditLine[]): Promise<void> {
    const missing = lines.filter(({ confirmation }) => !this.#holds(confirmation.version));
    if (missing.length === 0) return;
    await this.#journal.append(missing);
    for (const { confirmation } of missing) this.#note(confirmation.version);
  }

  #holds(version: number): boolean {
    return version <= this.#through || this.#above.has(version);
  }

  #note(version: number): void {
    if (!this.#holds(version)) this.#above.add(version);
    while (this.#above.delete(this.#through + 1)) this.#through += 1;
  }

  /** Read from the file each time: the trail of a day is long, and seldom asked for. */
  #held(after: number, limit: number): Promise<readonly AuditLine[]> {
    return this.#queue.run(async () => {
      const byVersion = new Map<number, AuditLine>();
      for (const line of readLines((await this.#journal.open()).records)) byVersion.set(line.confirmation.version, line);
      return [...byVersion.values()]
        .filter(({ confirmation }) => confirmation.version > after)
        .sort((a, b) => a.confirmation.version - b.confirmation.version)
        .slice(0, limit);
    });
  }

  /** Asks the others for what is missing below the end of the trail. */
  #fill(): Promise<void> {
    this.#filling ??= this.#ask().finally(() => {
      this.#filling = undefined;
    });
    return this.#filling;
  }

  async #ask(): Promise<void> {
    const { transport, peers, head, failureTimeoutMs, counters } = this.#options;
    // What was told to be kept is on the disk before it is missed.
    await this.#queue.run(async () => undefined);
    for (const peer of peers()) {
      while (this.#through < head().entries) {
        const before = this.#through;
        const body = { after: before, limit: linesAtOnce };
        const response = await transport.ask(peer, controllerCalls.auditLines, body, failureTimeoutMs).catch(() => undefined);
        this.keep(response?.lines ?? []);
        await this.#queue.run(async () => undefined);
        if (this.#through === before) break;
        counters.add('controller.auditFilled');
      }
      if (this.#through >= head().entries) return;
    }
  }
}

function readLines(records: readonly unknown[]): readonly AuditLine[] {
  return records.flatMap((record) => {
    const read = v.safeParse(v.array(AuditLine), record);
    return read.success ? read.output : [];
  });
}
