import type { Address } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { SerialQueue } from '@pewterlanding/runtime';
import type { GroupMember, Identity } from '../group/index.js';
import { DeduplicationTable, tailStart } from '../log/index.js';
import type { Entry, EntryLog, ShardFile } from '../log/index.js';
import type { Snapshot } from '../snapshot/index.js';
import type { MemberOptions } from './memberOptions.js';
import { MissingEntryError } from './missingEntryError.js';

/** How many commands are deduplicated by their ids where the state machine does not say. */
const defaultRememberedCommands = 4096;
/** The file is rewritten again once it is so many times as long as after the last rewrite. */
const rewriteRatio = 2;
/** How much of the log is kept behind a snapshot, as a part of `compactBytes`: a follower that lags a little needs no snapshot. */
const tailRatio = 1 / 4;
/** The limit of what is kept for a receiver of a snapshot, in `compactBytes`: the log of two compactions. */
const pinnedRatio = 2;

/** The weight of the newest sync in the moving average. */
const newestSyncWeight = 1 / 4;

/**
 * A member's state in any role: Raft's current term, log and commit index, the state machine and the file. Entries at or below the
 * commit index are never truncated.
 */
export class MemberState<C, R> {
  readonly queue = new SerialQueue();
  readonly deduplication: DeduplicationTable;
  readonly options: MemberOptions<C, R>;
  readonly log: EntryLog;
  currentTerm: number;
  commitIndex: number;
  /** The leader as far as it is known. */
  leader: Identity | undefined;
  /** When the election timeout was last reset: by a leader's call, a vote, or the end of the own leadership. */
  heardMs: number;
  /** True until this member hears from a leader or votes: it has known no leader since its start. */
  recentlyStarted = true;
  /** How long a sync takes here, as a moving average. */
  syncMs = 0;
  /** When the sync in progress began. */
  syncingSinceMs: number | undefined;
  /** The index of a snapshot that this member sends as leader; the entries after it are kept for its receiver. */
  pinnedIndex: () => number | undefined = () => undefined;
  readonly #file: ShardFile;
  /** The log is on the disk up to this index. */
  #syncedIndex: number;
  #rewrittenBytes = 0;

  constructor(options: MemberOptions<C, R>, file: ShardFile, currentTerm: number, log: EntryLog) {
    this.options = options;
    this.deduplication = new DeduplicationTable(options.stateMachine.rememberedCommands ?? defaultRememberedCommands);
    this.#file = file;
    this.currentTerm = currentTerm;
    this.log = log;
    this.commitIndex = log.snapshot.index;
    this.#syncedIndex = log.lastIndex;
    this.heardMs = options.clock.nowMs();
    options.stateMachine.restore(log.snapshot.stateMachine);
    this.deduplication.restore(log.snapshot.deduplication);
  }

  /** The clock that all timing of the member uses. */
  get clock(): Clock {
    return this.options.clock;
  }

  /** This member's identity. */
  get self(): Identity {
    return this.options.self;
  }

  /** The newest group in the log, committed or not. */
  group(): readonly GroupMember[] {
    return this.log.group();
  }

  /** The voters of the newest group, the preferred leader first. */
  voters(): readonly GroupMember[] {
    return this.group().filter((groupMember) => groupMember.isVoter);
  }

  /** This member's position among the voters, in the group's order; -1 where it has no vote. */
  position(): number {
    return this.voters().findIndex((groupMember) => groupMember.identity.memberId === this.self.memberId);
  }

  /** How many voters are a majority. */
  majority(): number {
    return Math.floor(this.voters().length / 2) + 1;
  }

  /** The leader's address as far as it is known. */
  leaderAddress(): Address | undefined {
    return this.leader?.address;
  }

  /** Moves to a term and syncs that it was voted for. To be called in the queue only. Rejects where the disk fails. */
  async vote(term: number): Promise<void> {
    this.currentTerm = term;
    // A leadership that ended may have left entries that are not synced yet. A vote reports the log to the candidate, and entries that
    // match are not written again, so they have to be on the disk first.
    if (this.#syncedIndex < this.log.lastIndex)
      await this.persist(this.#syncedIndex, this.log.after(this.#syncedIndex, Number.MAX_SAFE_INTEGER));
    await this.#timeSync(() => this.#file.vote(term));
  }

  /** Syncs the entries that follow `index`. To be called in the queue only. Rejects where the disk fails. */
  async persist(index: number, entries: readonly Entry[]): Promise<void> {
    await this.#timeSync(() => this.#file.entries(this.currentTerm, index, entries));
    this.#syncedIndex = index + entries.length;
  }

  /** Commits and applies all entries up to `index`, calling `onApplied` with each result. Throws MissingEntryError. */
  commitTo(index: number, onApplied: (index: number, result: R | undefined) => void = () => undefined): void {
    const before = this.commitIndex;
    while (this.commitIndex < Math.min(index, this.log.lastIndex)) {
      const next = this.commitIndex + 1;
      const entry = this.log.at(next);
      if (entry === undefined) throw new MissingEntryError(this.options.shard, next);
      this.commitIndex = next;
      onApplied(next, this.#apply(entry));
    }
    if (this.commitIndex > before) this.options.applied?.();
  }

  /** Compacts the log and rewrites the file when it has grown past its bound. To be called in the queue only. */
  async compactIfLong(): Promise<void> {
    // Where the state alone is longer than the bound, the file has to double first, or each append would rewrite it whole.
    if (this.#file.lengthBytes < Math.max(this.options.bounds.compactBytes, this.#rewrittenBytes * rewriteRatio)) return;
    const index = this.commitIndex;
    const groupEntry = this.log.groupEntry();
    // A group entry that is not committed must not become part of the snapshot.
    const group = groupEntry !== undefined && groupEntry.index > index ? undefined : this.group();
    if (group === undefined) return;
    const { compactBytes } = this.options.bounds;
    const bounds = { tailBytes: compactBytes * tailRatio, pinnedIndex: this.pinnedIndex(), pinnedBytes: compactBytes * pinnedRatio };
    const snapshot = {
      index,
      term: this.log.termAt(index) ?? 0,
      group: [...group],
      stateMachine: this.options.stateMachine.snapshot(),
      deduplication: this.deduplication.all(),
    };
    this.log.compact(snapshot, tailStart(this.log, index, bounds));
    await this.#timeSync(() => this.#file.rewrite(this.currentTerm, this.log));
    this.#rewrittenBytes = this.#file.lengthBytes;
    this.options.counters.add('consensus.rewritten');
  }

  /**
   * Replaces log and state by a snapshot; false, and nothing changes, where the state machine cannot read it. To be called in the queue
   * only.
   */
  async restoreSnapshot(snapshot: Snapshot): Promise<boolean> {
    const { stateMachine, counters, applied } = this.options;
    if (this.log.termAt(snapshot.index) === snapshot.term) {
      // The log holds all of it, and perhaps more, which a leader may have counted for a majority.
      this.commitTo(snapshot.index);
      return true;
    }
    const before = stateMachine.snapshot();
    try {
      stateMachine.restore(snapshot.stateMachine);
    } catch {
      stateMachine.restore(before);
      return false;
    }
    this.log.restart(snapshot);
    this.commitIndex = snapshot.index;
    this.#syncedIndex = snapshot.index;
    this.deduplication.restore(snapshot.deduplication);
    await this.#timeSync(() => this.#file.rewrite(this.currentTerm, this.log));
    this.#rewrittenBytes = this.#file.lengthBytes;
    counters.add('consensus.snapshotTaken');
    applied?.();
    return true;
  }

  #apply(entry: Entry): R | undefined {
    if (entry.payload.kind !== 'command') return undefined;
    const { id, command } = entry.payload;
    // A command that was sent again has no second effect and returns the first result.
    if (this.deduplication.has(id)) return this.options.stateMachine.readReturn(this.deduplication.get(id));
    const result = this.options.stateMachine.apply(this.options.stateMachine.read(command));
    this.deduplication.put(id, result);
    return result;
  }

  async #timeSync(write: () => Promise<void>): Promise<void> {
    const startMs = this.clock.nowMs();
    this.syncingSinceMs = startMs;
    try {
      await write();
    } catch (error) {
      this.options.fatal(error);
      throw error;
    } finally {
      this.syncingSinceMs = undefined;
    }
    this.syncMs = this.syncMs * (1 - newestSyncWeight) + (this.clock.nowMs() - startMs) * newestSyncWeight;
  }
}
