import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import type { Journal } from '@pewterlanding/runtime';
import { Snapshot } from '../snapshot/snapshot.js';
import { Entry } from './entry.js';
import { EntryLog } from './entryLog.js';
import type { GroupMember } from '../group/groupMember.js';
import { logFileFormat1 } from './logFileFormat1.js';

const LogFileRecord = v.variant('kind', [
  v.strictObject({ kind: v.literal('vote'), term: Count }),
  v.strictObject({ kind: v.literal('entries'), term: Count, index: Count, entries: v.array(Entry) }),
  v.strictObject({ kind: v.literal('snapshot'), term: Count, snapshot: Snapshot }),
  /** Entries that the snapshot before it holds already, for members that follow by entries. */
  v.strictObject({
    kind: v.literal('tail'),
    term: Count,
    base: v.strictObject({ term: Count, index: Count }),
    entries: v.array(Entry),
  }),
]);
type LogFileRecord = v.InferOutput<typeof LogFileRecord>;

interface ReadRecords {
  readonly records: readonly LogFileRecord[];
  readonly damaged: boolean;
}

interface ShardFileContents {
  readonly currentTerm: number;
  readonly log: EntryLog;
  readonly damaged: boolean;
}

/** A shard's file: votes, entries, snapshots and their tails in the order they were made. */
export class ShardFile {
  readonly #journal: Journal;
  /** Read before the opening, which takes it. */
  #ahead: Promise<ReadRecords> | undefined;

  constructor(journal: Journal) {
    this.#journal = journal;
  }

  get lengthBytes(): number {
    return this.#journal.lengthBytes;
  }

  /** The members that the file holds; none where it knows nothing of the shard. What is read for this, the opening need not read again. */
  async group(): Promise<readonly GroupMember[]> {
    this.#ahead ??= this.#read();
    const { records, damaged } = await this.#ahead;
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    return damaged ? [] : logOf(records, blank).group();
  }

  /** `bootstrap` is what the log stands on until the file says otherwise. */
  async open(bootstrap: Snapshot): Promise<ShardFileContents> {
    const { records, damaged } = await (this.#ahead ?? this.#read());
    this.#ahead = undefined;
    if (damaged) return { currentTerm: 0, log: new EntryLog(bootstrap), damaged: true };
    // The members of the bootstrap are part of the file, so that a restart needs nobody to repeat them. A snapshot written behind
    // entries would drop those at the next opening.
    if (!wasAdded(records) && !records.some(({ kind: t }) => t === 'snapshot') && bootstrap.group.length > 0)
      await this.#append({ kind: 'snapshot', term: 0, snapshot: bootstrap });
    const currentTerm = records.reduce((highest, { term }) => Math.max(highest, term), 0);
    return { currentTerm, log: logOf(records, bootstrap), damaged: false };
  }

  async vote(term: number): Promise<void> {
    await this.#append({ kind: 'vote', term });
  }

  async entries(term: number, index: number, entries: readonly Entry[]): Promise<void> {
    await this.#append({ kind: 'entries', term, index, entries: [...entries] });
  }

  /** Writes the whole file anew from a snapshot, the tail behind it and what stands on it. */
  async rewrite(term: number, log: EntryLog): Promise<void> {
    const records: LogFileRecord[] = [{ kind: 'snapshot', term, snapshot: log.snapshot }];
    const tail = log.after(log.base.index, log.snapshot.index - log.base.index);
    if (tail.length > 0) records.push({ kind: 'tail', term, base: log.base, entries: [...tail] });
    const rest = log.after(log.snapshot.index, Number.MAX_SAFE_INTEGER);
    if (rest.length > 0) records.push({ kind: 'entries', term, index: log.snapshot.index, entries: [...rest] });
    await this.#journal.rewrite(records);
  }

  async #read(): Promise<ReadRecords> {
    const { records, damaged } = await this.#journal.open();
    return { records: damaged ? [] : records.map((raw): LogFileRecord => v.parse(LogFileRecord, logFileFormat1(raw))), damaged };
  }

  async #append(kept: LogFileRecord): Promise<void> {
    await this.#journal.append(kept);
  }
}

/** A file that holds records but no snapshot is that of a member which was added: it was bootstrapped on no members. */
function wasAdded(records: readonly LogFileRecord[]): boolean {
  return records.some(({ kind: t }) => t === 'entries') && !records.some(({ kind: t }) => t === 'snapshot');
}

function logOf(records: readonly LogFileRecord[], bootstrap: Snapshot): EntryLog {
  let log = new EntryLog(wasAdded(records) ? { ...bootstrap, group: [] } : bootstrap);
  for (const record of records) {
    if (record.kind === 'snapshot') log = new EntryLog(record.snapshot);
    else if (record.kind === 'tail') log.restoreTail(record.base, record.entries);
    // What a file holds may be cut by what it holds later; commitment is learned anew from the leader.
    else if (record.kind === 'entries') log.write(record.index, record.entries, 0);
  }
  return log;
}
