import type { GroupMember } from '../group/index.js';
import type { Entry } from '../log/index.js';
import { UnknownOutcomeError } from '../protocol/index.js';
import type { MemberState } from '../state/index.js';
import { Follower } from './follower.js';
import { LeadershipConfirmations } from './leadershipConfirmations.js';
import { LogReplicator } from './logReplicator.js';
import { SnapshotSender } from './snapshotSender.js';

interface PendingEntry<R> {
  readonly resolve: (result: R | undefined) => void;
  readonly reject: (error: Error) => void;
}

interface LeadershipEvents {
  /** The entry that opens the term is committed: requests can be served. */
  readonly opened: () => void;
  /** The term has to end at this member. */
  readonly ended: (reason: string) => void;
}

/**
 * One member's leadership under one term: appends entries, replicates them and commits what a majority has synced. It counts its own
 * copy of an entry only after its own sync. See Raft, sections 5.3 and 5.4.
 */
export class Leadership<C, R> {
  readonly term: number;
  readonly #state: MemberState<C, R>;
  readonly #followers = new Map<string, Follower>();
  /** What waits for entries to be committed, by index. */
  readonly #pending = new Map<number, PendingEntry<R>>();
  readonly #events: LeadershipEvents;
  readonly #snapshots: SnapshotSender<C, R>;
  readonly #replicator: LogReplicator<C, R>;
  readonly #confirmations: LeadershipConfirmations;
  readonly #sinceMs: number;
  readonly #openIndex: number;
  #syncedIndex: number;
  #isSyncing = false;
  #hasEnded = false;

  constructor(state: MemberState<C, R>, term: number, events: LeadershipEvents) {
    this.#state = state;
    this.term = term;
    this.#events = events;
    this.#syncedIndex = state.log.lastIndex;
    this.#sinceMs = state.clock.nowMs();
    this.#openIndex = state.log.lastIndex + 1;
    this.#snapshots = new SnapshotSender(state, term);
    this.#replicator = this.#createReplicator();
    this.#confirmations = new LeadershipConfirmations(() => {
      this.heartbeat();
      this.#confirmRounds();
    });
    state.pinnedIndex = () => this.#snapshots.pinnedIndex;
    this.#refreshFollowers();
    void this.#append({ kind: 'open' })
      .then(events.opened)
      .catch(() => undefined);
  }

  /**
   * True once the entry that opens the term is committed: only then are entries of earlier terms surely committed (Raft, 5.4.2), and
   * only then is anything served.
   */
  get isOpen(): boolean {
    return !this.#hasEnded && this.#state.commitIndex >= this.#openIndex;
  }

  /** The index of the last entry in the leader's log. */
  get lastIndex(): number {
    return this.#state.log.lastIndex;
  }

  /** The other members of the newest group. */
  followers(): readonly Follower[] {
    return [...this.#followers.values()];
  }

  /** Appends a command; resolves with its result when it is committed. Rejects with UnknownOutcomeError when the term ends first. */
  command(id: string, command: C): Promise<R | undefined> {
    return this.#append({ kind: 'command', id, command });
  }

  /** Appends a new group, which takes effect at once; resolves when it is committed. Rejects like `command`. */
  async changeGroup(group: readonly GroupMember[]): Promise<void> {
    await this.#append({ kind: 'group', group: [...group] });
  }

  /**
   * Resolves once a majority has answered a round that started after this call: no other member can have been elected before it.
   * Rejects with UnknownOutcomeError when the term ends first.
   */
  confirmLeadership(): Promise<void> {
    return this.#hasEnded ? Promise.reject(new UnknownOutcomeError('the term is over')) : this.#confirmations.next();
  }

  /** Sends all followers what they lack, or an empty append. */
  heartbeat(): void {
    for (const follower of this.#followers.values()) this.#replicator.replicateTo(follower);
  }

  /** How long ago a majority, this member included, was last heard, in milliseconds. */
  majorityAgeMs(): number {
    const nowMs = this.#state.clock.nowMs();
    return nowMs - (this.#majorityOf((follower) => follower.heardMs, nowMs) ?? this.#sinceMs);
  }

  /** Ends the leadership here. What still waits rejects with UnknownOutcomeError. */
  end(reason: string): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#snapshots.end();
    for (const pending of this.#pending.values()) pending.reject(new UnknownOutcomeError(reason));
    this.#pending.clear();
    this.#confirmations.rejectAll(() => new UnknownOutcomeError(reason));
  }

  #append(payload: Entry['payload']): Promise<R | undefined> {
    return new Promise((resolve, reject) => {
      if (this.#hasEnded) {
        reject(new UnknownOutcomeError('the term is over'));
        return;
      }
      const index = this.#state.log.lastIndex;
      this.#state.log.write(index, [{ term: this.term, payload }], this.#state.commitIndex);
      this.#pending.set(index + 1, { resolve, reject });
      if (payload.kind === 'group') this.#refreshFollowers();
      this.#syncLog();
      this.heartbeat();
    });
  }

  /** Makes the followers those of the newest group, keeping the state of those that stay. */
  #refreshFollowers(): void {
    const nowMs = this.#state.clock.nowMs();
    const group = this.#state.group().filter((groupMember) => groupMember.identity.memberId !== this.#state.self.memberId);
    const known = new Map(this.#followers);
    this.#followers.clear();
    for (const groupMember of group) {
      const { memberId } = groupMember.identity;
      const follower = known.get(memberId) ?? new Follower(groupMember, this.#state.log.lastIndex, nowMs);
      // A learner may have become a voter.
      follower.groupMember = groupMember;
      this.#followers.set(memberId, follower);
    }
    this.#snapshots.keepOnly(new Set(this.#followers.keys()));
  }

  /** Syncs all entries that are not on this member's disk yet, in one write. */
  #syncLog(): void {
    if (this.#isSyncing || this.#hasEnded) return;
    this.#isSyncing = true;
    void this.#state.queue
      .run(async () => {
        while (!this.#hasEnded && this.#syncedIndex < this.#state.log.lastIndex) {
          const entries = this.#state.log.after(this.#syncedIndex, Number.MAX_SAFE_INTEGER);
          const upTo = this.#syncedIndex + entries.length;
          await this.#state.persist(this.#syncedIndex, entries);
          this.#syncedIndex = upTo;
          this.#advanceCommitIndex();
        }
        await this.#state.compactIfLong();
      })
      .catch(() => undefined)
      .finally(() => {
        this.#isSyncing = false;
        if (this.#syncedIndex < this.#state.log.lastIndex) this.#syncLog();
      });
  }

  /** The highest value that a majority of the voters reaches, `own` being this member's. */
  #majorityOf(value: (follower: Follower) => number, own: number): number | undefined {
    const values = this.#state
      .voters()
      .map((groupMember) => {
        if (groupMember.identity.memberId === this.#state.self.memberId) return own;
        const follower = this.#followers.get(groupMember.identity.memberId);
        return follower === undefined ? 0 : value(follower);
      })
      .sort((a, b) => b - a);
    return values[this.#state.majority() - 1];
  }

  #advanceCommitIndex(): void {
    if (this.#hasEnded) return;
    const index = this.#majorityOf((follower) => follower.matchIndex, this.#syncedIndex) ?? 0;
    // Entries of earlier terms are committed only by an entry of this term above them (Raft, 5.4.2).
    if (index <= this.#state.commitIndex || this.#state.log.termAt(index) !== this.term) return;
    this.#state.commitTo(index, (committedIndex, result) => {
      const pending = this.#pending.get(committedIndex);
      this.#pending.delete(committedIndex);
      pending?.resolve(result);
    });
    if (!this.#state.group().some((groupMember) => groupMember.identity.memberId === this.#state.self.memberId))
      this.#events.ended('this member left the group');
    else this.#confirmRounds();
  }

  #confirmRounds(): void {
    if (!this.isOpen) return;
    this.#confirmations.confirm(this.#majorityOf((follower) => follower.confirmedRound, this.#confirmations.round) ?? 0);
  }

  #createReplicator(): LogReplicator<C, R> {
    return new LogReplicator({
      state: this.#state,
      term: this.term,
      snapshots: this.#snapshots,
      hasEnded: () => this.#hasEnded,
      isCurrent: (follower) => this.#followers.get(follower.groupMember.identity.memberId) === follower,
      round: () => this.#confirmations.round,
      onRoundAnswered: () => this.#confirmRounds(),
      onMatch: () => {
        this.#advanceCommitIndex();
        this.#confirmRounds();
      },
      onHigherTerm: this.#events.ended,
    });
  }
}
