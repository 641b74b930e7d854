import { CommittedEntryConflictError } from './committedEntryConflictError.js';
import type { Snapshot } from '../snapshot/snapshot.js';
import type { Entry } from './entry.js';
import type { GroupMember } from '../group/groupMember.js';

interface Position {
  readonly term: number;
  readonly index: number;
}

/**
 * The log of a shard in memory: a snapshot, a tail of the entries behind it, and the entries after it. The tail lets a member that
 * is a little behind follow by entries. Its rule: what was committed is never cut.
 */
export class EntryLog {
  #snapshot: Snapshot;
  /** The position before the first entry held; at the snapshot or behind it. */
  #base: Position;
  #entries: Entry[] = [];

  constructor(snapshot: Snapshot) {
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
  }

  get snapshot(): Snapshot {
    return this.#snapshot;
  }

  /** The position before the first entry held: who stands there or later can follow by entries. */
  get base(): Position {
    return this.#base;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get last(): Position {
    return { term: this.termAt(this.lastIndex) ?? 0, index: this.lastIndex };
  }

  termAt(index: number): number | undefined {
    return index === this.#base.index ? this.#base.term : this.at(index)?.term;
  }

  at(index: number): Entry | undefined {
    return index <= this.#base.index ? undefined : this.#entries[index - this.#base.index - 1];
  }

  after(index: number, limit: number): readonly Entry[] {
    const start = index - this.#base.index;
    return start < 0 ? [] : this.#entries.slice(start, start + limit);
  }

  /** Writes entries behind `index`, cutting what conflicts. Returns the index from which something changed, if anything did. */
  write(index: number, entries: readonly Entry[], committed: number): number | undefined {
    for (let step = 0; step < entries.length; step += 1) {
      const entry = entries[step];
      const position = index + step + 1;
      if (entry === undefined || position <= this.#snapshot.index || this.termAt(position) === entry.term) continue;
      if (position <= committed) throw new CommittedEntryConflictError(position);
      this.#entries.length = position - this.#base.index - 1;
      this.#entries.push(...entries.slice(step));
      return position;
    }
    return undefined;
  }

  /** Starts again on a snapshot, dropping every entry. */
  restart(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
    this.#base = { index: snapshot.index, term: snapshot.term };
    this.#entries = [];
  }

  /** Moves the snapshot up to an index that was applied, keeping the entries after `keepAfter`, which is not above it. */
  compact(snapshot: Snapshot, keepAfter: number): void {
    const base = { index: keepAfter, term: this.termAt(keepAfter) ?? 0 };
    this.#entries = this.#entries.slice(keepAfter - this.#base.index);
    this.#base = base;
    this.#snapshot = snapshot;
  }

  /** Puts the tail of a file behind the snapshot it stands on; one that doesn't end there is left out. */
  restoreTail(base: Position, entries: readonly Entry[]): void {
    if (this.#entries.length > 0 || base.index + entries.length !== this.#snapshot.index) return;
    if (entries.length === 0 || entries.at(-1)?.term !== this.#snapshot.term) return;
    this.#base = base;
    this.#entries = [...entries];
  }

  /** The group as the newest group record has it, committed or not. */
  group(): readonly GroupMember[] {
    return this.groupRecord()?.group ?? this.#snapshot.group;
  }

  /** Where the newest group record stands, if it is not in the snapshot. */
  groupRecord(): { readonly index: number; readonly group: readonly GroupMember[] } | undefined {
    for (let index = this.lastIndex; index > this.#snapshot.index; index -= 1) {
      const payload = this.at(index)?.payload;
      if (payload?.kind === 'group') return { index, group: payload.group };
    }
    return undefined;
  }
}
