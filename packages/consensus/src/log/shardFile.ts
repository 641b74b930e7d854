import * as v from 'valibot';
import { Count, isFields } from '@pewterlanding/model';
import type { Journal } from '@pewterlanding/runtime';
import { Snapshot } from '../snapshot/index.js';
import { Entry } from './entry.js';
import { EntryLog } from './entryLog.js';
import type { GroupMember } from '../group/index.js';
import { logFileFormat1 } from './logFileFormat1.js';
import { UnsupportedFormatError } from './unsupportedFormatError.js';

/** The format in which records are written, and the latest that is read. Records of format 1 do not carry the field. */
const currentFormat = 2;

const common = { format: v.optional(Count), term: Count };
const LogFileRecord = v.variant('kind', [
  v.strictObject({ ...common, kind: v.literal('vote') }),
  v.strictObject({ ...common, kind: v.literal('entries'), index: Count, entries: v.array(Entry) }),
  v.strictObject({ ...common, kind: v.literal('snapshot'), snapshot: Snapshot }),
  /** Entries that the snapshot before it covers already, for followers that lag a little and need no snapshot. */
  v.strictObject({
    ...common,
    kind: v.literal('tail'),
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

/**
 * A shard's file: votes, entries, snapshots and their tails in the order in which they were written. Each record carries the format
 * it is written in. Reading throws UnsupportedFormatError at a record of a later format than this build's.
 */
export class ShardFile {
  readonly #journal: Journal;
  readonly #shard: string;
  /** Records read before the file is opened; opening it uses them instead of reading again. */
  #readAhead: Promise<ReadRecords> | undefined;

  /** `shard` names the file in errors. */
  constructor(journal: Journal, shard = 'shard') {
    this.#journal = journal;
    this.#shard = shard;
  }

  /** The file's length, once it is open. */
  get lengthBytes(): number {
    return this.#journal.lengthBytes;
  }

  /** The members that the file holds; none where it holds no record. `open` uses what was read for this. */
  async group(): Promise<readonly GroupMember[]> {
    this.#readAhead ??= this.#read();
    const { records, damaged } = await this.#readAhead;
    const blank = { index: 0, term: 0, group: [], stateMachine: undefined, deduplication: [] };
    return damaged ? [] : logOf(records, blank).group();
  }

  /** Reads the term and the log. `bootstrap` is the snapshot of the log where the file holds none. */
  async open(bootstrap: Snapshot): Promise<ShardFileContents> {
    const { records, damaged } = await (this.#readAhead ?? this.#read());
    this.#readAhead = undefined;
    if (damaged) return { currentTerm: 0, log: new EntryLog(bootstrap), damaged: true };
    // The bootstrap's members become part of the file, so that a restart does not depend on anyone to pass them again. A snapshot
    // written after entries would drop those entries at the next opening.
    if (!wasAdded(records) && !records.some(({ kind }) => kind === 'snapshot') && bootstrap.group.length > 0)
      await this.#append({ format: currentFormat, kind: 'snapshot', term: 0, snapshot: bootstrap });
    const currentTerm = records.reduce((highest, { term }) => Math.max(highest, term), 0);
    return { currentTerm, log: logOf(records, bootstrap), damaged: false };
  }

  /** Appends and syncs a vote. Rejects where the disk fails, as all writes here. */
  async vote(term: number): Promise<void> {
    await this.#append({ format: currentFormat, kind: 'vote', term });
  }

  /** Appends and syncs the entries that follow `index`. */
  async entries(term: number, index: number, entries: readonly Entry[]): Promise<void> {
    await this.#append({ format: currentFormat, kind: 'entries', term, index, entries: [...entries] });
  }

  /** Replaces the whole file by the log's snapshot, the tail before it and the entries after it. */
  async rewrite(term: number, log: EntryLog): Promise<void> {
    const records: LogFileRecord[] = [{ format: currentFormat, kind: 'snapshot', term, snapshot: log.snapshot }];
    const tail = log.after(log.base.index, log.snapshot.index - log.base.index);
    if (tail.length > 0) records.push({ format: currentFormat, kind: 'tail', term, base: log.base, entries: [...tail] });
    const rest = log.after(log.snapshot.index, Number.MAX_SAFE_INTEGER);
    if (rest.length > 0) records.push({ format: currentFormat, kind: 'entries', term, index: log.snapshot.index, entries: [...rest] });
    await this.#journal.rewrite(records);
  }

  async #read(): Promise<ReadRecords> {
    const { records, damaged } = await this.#journal.open();
    return { records: damaged ? [] : records.map((raw) => this.#parse(raw)), damaged };
  }

  #parse(raw: unknown): LogFileRecord {
    if (isFields(raw) && typeof raw['format'] === 'number' && raw['format'] > currentFormat)
      throw new UnsupportedFormatError(this.#shard, raw['format'], currentFormat);
    return v.parse(LogFileRecord, logFileFormat1(raw));
  }

  async #append(record: LogFileRecord): Promise<void> {
    await this.#journal.append(record);
  }
}

/** A file with entries but no snapshot belongs to a member that was added later: it began with an empty group. */
function wasAdded(records: readonly LogFileRecord[]): boolean {
  return records.some(({ kind }) => kind === 'entries') && !records.some(({ kind }) => kind === 'snapshot');
}

function logOf(records: readonly LogFileRecord[], bootstrap: Snapshot): EntryLog {
  let log = new EntryLog(wasAdded(records) ? { ...bootstrap, group: [] } : bootstrap);
  for (const record of records) {
    if (record.kind === 'snapshot') log = new EntryLog(record.snapshot);
    else if (record.kind === 'tail') log.restoreTail(record.base, record.entries);
    // Later entries may truncate earlier ones; the commit index is not stored and is learned from the leader.
    else if (record.kind === 'entries') log.write(record.index, record.entries, 0);
  }
  return log;
}
