import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import type { Clock, Counters, Disk, Transport } from '@pewterlanding/runtime';
import { every, Journal, SerialQueue } from '@pewterlanding/runtime';
import type { AuditHead } from './auditHead.js';
import { AuditLine } from './auditLine.js';
import { auditCalls } from './auditCalls.js';

const fileName = 'setup.audit';
/** Lines asked of another controller at once: a few hundred kilobytes, far below what one message may hold. */
const maxLinesPerAsk = 256;

interface AuditArchiveOptions {
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly failureTimeoutMs: number;
  /** The end of the trail, from the configuration shard's state on this machine. */
  readonly head: () => AuditHead;
  /** The other controllers. */
  readonly peers: () => readonly Address[];
}

/**
 * This machine's copy of the audit trail, in a file of its own beside the configuration shard's. The replicated state holds only
 * the length and the hash of the chain, so it doesn't grow with the number of changes. Lines that this file lacks (after the loss
 * of a disk, or a snapshot that skipped entries) are fetched from the other controllers; the hash chain shows whether they belong
 * to the trail.
 */
export class AuditArchive {
  readonly #options: AuditArchiveOptions;
  readonly #journal: Journal;
  readonly #queue = new SerialQueue();
  readonly #stop: () => void;
  /** Versions in the file: all up to `#through`, and the ones above it that are listed here. */
  readonly #above = new Set<number>();
  #through = 0;
  #filling: Promise<void> | undefined;

  constructor(options: AuditArchiveOptions) {
    this.#options = options;
    this.#journal = new Journal(options.disk, fileName);
    this.#queue.run(() => this.#open()).catch(() => options.counters.add('controller.auditUnreadable'));
    options.transport.serve(auditCalls.auditLines, async ({ after, limit }) => ({ lines: [...(await this.#linesAfter(after, limit))] }));
    this.#stop = every(options.clock, options.failureTimeoutMs, () => this.#fill());
  }

  close(): void {
    this.#stop();
  }

  /** Writes lines that the file lacks. Nothing waits for it: the newest lines are in the replicated state as well. */
  keep(lines: readonly AuditLine[]): void {
    this.#queue.run(() => this.#append(lines)).catch(() => this.#options.counters.add('controller.auditNotKept'));
  }

  /** The newest lines in order, up to the end of the trail, fetching from other controllers what this machine lacks. */
  async newest(limit: number): Promise<readonly AuditLine[]> {
    this.keep(this.#options.head().newest);
    await this.#fill();
    return this.#linesAfter(Math.max(0, this.#options.head().entries - limit), limit);
  }

  async #open(): Promise<void> {
    const { damaged, records } = await this.#journal.open();
    if (damaged) {
      // The lines are fetched again from the other controllers.
      this.#options.counters.add('controller.auditDamaged');
      await this.#journal.rewrite([]);
    }
    for (const line of readLines(records)) this.#add(line.confirmation.version);
  }

  async #append(lines: readonly AuditLine[]): Promise<void> {
    const missing = lines.filter(({ confirmation }) => !this.#has(confirmation.version));
    if (missing.length === 0) return;
    await this.#journal.append(missing);
    for (const { confirmation } of missing) this.#add(confirmation.version);
  }

  #has(version: number): boolean {
    return version <= this.#through || this.#above.has(version);
  }

  #add(version: number): void {
    if (!this.#has(version)) this.#above.add(version);
    while (this.#above.delete(this.#through + 1)) this.#through += 1;
  }

  /** Reads the file each time: a day's trail is large, and seldom read. */
  #linesAfter(after: number, limit: number): Promise<readonly AuditLine[]> {
    return this.#queue.run(async () => {
      const byVersion = new Map<number, AuditLine>();
      for (const line of readLines((await this.#journal.open()).records)) byVersion.set(line.confirmation.version, line);
      return [...byVersion.values()]
        .filter(({ confirmation }) => confirmation.version > after)
        .sort((a, b) => a.confirmation.version - b.confirmation.version)
        .slice(0, limit);
    });
  }

  /** Fetches what is missing up to the end of the trail; concurrent calls share one run. */
  #fill(): Promise<void> {
    this.#filling ??= this.#fetch().finally(() => {
      this.#filling = undefined;
    });
    return this.#filling;
  }

  async #fetch(): Promise<void> {
    const { transport, peers, head, failureTimeoutMs, counters } = this.#options;
    // Lines still in the queue are not missing.
    await this.#queue.run(async () => undefined);
    for (const peer of peers()) {
      while (this.#through < head().entries) {
        const before = this.#through;
        const body = { after: before, limit: maxLinesPerAsk };
        const response = await transport.ask(peer, auditCalls.auditLines, body, failureTimeoutMs).catch(() => undefined);
        this.keep(response?.lines ?? []);
        await this.#queue.run(async () => undefined);
        // This peer has nothing more; the next one may.
        if (this.#through === before) break;
        counters.add('controller.auditFilled');
      }
      if (this.#through >= head().entries) return;
    }
  }
}

function readLines(records: readonly unknown[]): readonly AuditLine[] {
  const lines: AuditLine[] = [];
  for (const record of records) {
    const read = v.safeParse(v.array(AuditLine), record);
    if (read.success) lines.push(...read.output);
  }
  return lines;
}
