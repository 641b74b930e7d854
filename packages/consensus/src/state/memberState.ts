import type { Address } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import { SerialQueue } from '@pewterlanding/runtime';
import type { Entry } from '../log/entry.js';
import type { EntryLog } from '../log/entryLog.js';
import type { Identity } from '../group/identity.js';
import { MissingEntryError } from './missingEntryError.js';
import type { MemberOptions } from './memberOptions.js';
import type { ShardFile } from '../log/shardFile.js';
import { DeduplicationTable } from '../log/deduplicationTable.js';
import type { GroupMember } from '../group/groupMember.js';
import { tailStart } from '../log/tailStart.js';

const rememberedCommands = 4096;
const rewriteRatio = 2;
/** Of the bound of the file, this much of the log stays behind a snapshot: a member that was away for a moment follows by entries. */
const tailRatio = 1 / 4;
/** For the sake of a snapshot that is being sent it may become so much longer: by the log that two compactions would take. */
const pinnedRatio = 2;

/** What a member holds whatever its role: vote, log, machine and file. Its rules keep what was committed. */
export class MemberState<C, R> {
  readonly queue = new SerialQueue();
  readonly deduplication: DeduplicationTable;
  readonly options: MemberOptions<C, R>;
  readonly log: EntryLog;
  currentTerm: number;
  committed: number;
  leader: Identity | undefined;
  heardMs: number;
  /** True until this member hears of a leader or votes another a term: since its start it knows of nobody to disturb. */
  recentlyStarted = true;
  /** A moving average of how long a sync takes here. */
  syncMs = 0;
  syncingSinceMs: number | undefined;
  /** On a leader that is sending a snapshot: its index. The entries after it stay. */
  pinnedIndex: () => number | undefined = () => undefined;
  readonly #file: ShardFile;
  /** The log is on the disk up to here. */
  #synced: number;
  #rewrittenBytes = 0;

  constructor(options: MemberOptions<C, R>, file: ShardFile, currentTerm: number, log: EntryLog) {
    this.options = options;
    this.deduplication = new DeduplicationTable(options.stateMachine.rememberedCommands ?? rememberedCommands);
    this.#file = file;
    this.currentTerm = currentTerm;
    this.log = log;
    this.committed = log.snapshot.index;
    this.#synced = log.lastIndex;
    this.heardMs = options.clock.nowMs();
    options.stateMachine.restore(log.snapshot.stateMachine);
    this.deduplication.restore(log.snapshot.deduplication);
  }

  get clock(): Clock {
    return this.options.clock;
  }

  get self(): Identity {
    return this.options.self;
  }

  group(): readonly GroupMember[] {
    return this.log.group();
  }

  voters(): readonly GroupMember[] {
    return this.group().filter((groupMember) => groupMember.isVoter);
  }

  /** This member's place in the order of the group, or -1 without a vote. */
  position(): number {
    return this.voters().findIndex((groupMember) => groupMember.identity.memberId === this.self.memberId);
  }

  majority(): number {
    return Math.floor(this.voters().length / 2) + 1;
  }

  leaderAddress(): Address | undefined {
    return this.leader?.address;
  }

  /** Syncs a vote. In the queue only. */
  async vote(term: number): Promise<void> {
    this.currentTerm = term;
    // A term that ended may have left records that are not synced yet. Whoever votes shows its log to others, and
    // records that fit are not written again: they must be on the disk first.
    if (this.#synced < this.log.lastIndex) await this.persist(this.#synced, this.log.after(this.#synced, Number.MAX_SAFE_INTEGER));
    await this.#timed(() => this.#file.vote(term));
  }

  /** Syncs entries that stand behind `index`. In the queue only. */
  async persist(index: number, entries: readonly Entry[]): Promise<void> {
    await this.#timed(() => this.#file.entries(this.currentTerm, index, entries));
    this.#synced = index + entries.length;
  }

  /** Applies all up to `index`, telling each return. */
  commitTo(index: number, told: (index: number, entry: Entry, result: R | undefined) => void = () => undefined): void {
    const before = this.committed;
    while (this.committed < Math.min(index, this.log.lastIndex)) {
      const position = this.committed + 1;
      const entry = this.log.at(position);
      if (entry === undefined) throw new MissingEntryError(this.options.shard, position);
      this.committed = position;
      told(position, entry, this.#apply(entry));
    }
    if (this.committed > before) this.options.applied?.();
  }

  /** Makes the file short again when it grew past its bound. In the queue only. */
  async compactIfLong(): Promise<void> {
    // A state longer than the bound must not be written whole at each record: the file has to double first.
    if (this.#file.lengthBytes < Math.max(this.options.bounds.compactBytes, this.#rewrittenBytes * rewriteRatio)) return;
    const index = this.committed;
    const groupRecord = this.log.groupRecord();
    // Only a group record that is committed may sink into the snapshot.
    const group = groupRecord !== undefined && groupRecord.index > index ? undefined : this.group();
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
    await this.#timed(() => this.#file.rewrite(this.currentTerm, this.log));
    this.#rewrittenBytes = this.#file.lengthBytes;
    this.options.counters.add('consensus.rewritten');
  }

  /** Takes the place of all that was held. One that the state machine can't read changes nothing. In the queue only. */
  async restoreSnapshot(snapshot: EntryLog['snapshot']): Promise<boolean> {
    const { stateMachine, counters, applied } = this.options;
    if (this.log.termAt(snapshot.index) === snapshot.term) {
      // The log holds all of it, and perhaps more that a leader counts on.
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
    this.committed = snapshot.index;
    this.#synced = snapshot.index;
    this.deduplication.restore(snapshot.deduplication);
    await this.#timed(() => this.#file.rewrite(this.currentTerm, this.log));
    this.#rewrittenBytes = this.#file.lengthBytes;
    counters.add('consensus.snapshotTaken');
    applied?.();
    return true;
  }

  #apply(entry: Entry): R | undefined {
    if (entry.payload.kind !== 'command') return undefined;
    const { id, command } = entry.payload;
    // A command sent twice has one effect and one return.
    if (this.deduplication.has(id)) return this.options.stateMachine.readReturn(this.deduplication.get(id));
    const result = this.options.stateMachine.apply(this.options.stateMachine.read(command));
    this.deduplication.put(id, result);
    return result;
  }

  async #timed(write: () => Promise<void>): Promise<void> {
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
    this.syncMs = this.syncMs * 0.75 + (this.clock.nowMs() - startMs) * 0.25;
  }
}
