import { CommittedEntryConflictError } from './committedEntryConflictError.js';
import type { Snapshot } from '../snapshot/index.js';
import type { Entry } from './entry.js';
import type { GroupMember } from '../group/index.js';

interface Position {
  readonly term: number;
  readonly index: number;
}

/**
 * The log of a shard in memory: a snapshot, the tail of entries that it covers, and the entries after it. With the tail, a follower
 * that lags a little needs no snapshot.
 */
export class EntryLog {
  #snapshot: Snapshot;
  /** The position before the first entry that is kept; at the snapshot's index or below. */
  #base: Position;
  #entries: Entry[] = [];

  constructor(snapshot: Snapshot) {
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
  }

  /** The snapshot that the log continues. */
  get snapshot(): Snapshot {
    return this.#snapshot;
  }

  /** The position before the first entry that is kept: a follower at it or later can be sent entries. */
  get base(): Position {
    return this.#base;
  }

  /** The index of the last entry, or of the snapshot where there is none. */
  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  /** The position of the last entry, or of the snapshot where there is none. */
  get last(): Position {
    return { term: this.termAt(this.lastIndex) ?? 0, index: this.lastIndex };
  }

  /** The term of the entry at an index; undefined where it is not kept. */
  termAt(index: number): number | undefined {
    return index === this.#base.index ? this.#base.term : this.at(index)?.term;
  }

  /** The entry at an index; undefined where it is not kept. */
  at(index: number): Entry | undefined {
    return index <= this.#base.index ? undefined : this.#entries[index - this.#base.index - 1];
  }

  /** Up to `limit` entries after `index`; none where the log does not reach back to it. */
  after(index: number, limit: number): readonly Entry[] {
    const start = index - this.#base.index;
    return start < 0 ? [] : this.#entries.slice(start, start + limit);
  }

  /**
   * Writes entries after `index`, truncating from the first that conflicts (Raft, section 5.3). Returns the index of the first that
   * changed, if any did. Throws CommittedEntryConflictError where the conflict is at or below `commitIndex`.
   */
  write(index: number, entries: readonly Entry[], commitIndex: number): number | undefined {
    for (let step = 0; step < entries.length; step += 1) {
      const entry = entries[step];
      const position = index + step + 1;
      if (entry === undefined || position <= this.#snapshot.index || this.termAt(position) === entry.term) continue;
      if (position <= commitIndex) throw new CommittedEntryConflictError(position);
      this.#entries.length = position - this.#base.index - 1;
      this.#entries.push(...entries.slice(step));
      return position;
    }
    return undefined;
  }

  /** Replaces the log by a snapshot, dropping every entry. */
  restart(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
    this.#entries = [];
  }

  /** Moves the snapshot up to an applied index, keeping the entries after `keepAfter`, which is at or below it. */
  compact(snapshot: Snapshot, keepAfter: number): void {
    const base = { index: keepAfter, term: this.termAt(keepAfter) ?? 0 };
    this.#entries = this.#entries.slice(keepAfter - this.#base.index);
    this.#base = base;
    this.#snapshot = snapshot;
  }

  /** Adds the tail that a file holds; ignored where it does not end at the snapshot. */
  restoreTail(base: Position, entries: readonly Entry[]): void {
    if (this.#entries.length > 0 || base.index + entries.length !== this.#snapshot.index) return;
    if (entries.length === 0 || entries.at(-1)?.term !== this.#snapshot.term) return;
    this.#base = base;
    this.#entries = [...entries];
  }

  /** The group of the newest group entry, committed or not. */
  group(): readonly GroupMember[] {
    return this.groupEntry()?.group ?? this.#snapshot.group;
  }

  /** The newest group entry after the snapshot. */
  groupEntry(): { readonly index: number; readonly group: readonly GroupMember[] } | undefined {
    for (let index = this.lastIndex; index > this.#snapshot.index; index -= 1) {
      const payload = this.at(index)?.payload;
      if (payload?.kind === 'group') return { index, group: payload.group };
    }
    return undefined;
  }
}
