import { TransportError } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Entry } from '../log/entry.js';
import { Follower } from './follower.js';
import type { MemberState } from '../state/memberState.js';
import type { GroupMember } from '../group/groupMember.js';
import { SnapshotSender } from '../snapshot/snapshotSender.js';
import { UnknownOutcomeError } from '../protocol/unknownOutcomeError.js';

interface Waiter<R> {
  readonly take: (result: R | undefined) => void;
  readonly fail: (error: Error) => void;
}

interface Confirming {
  readonly round: number;
  readonly take: () => void;
  readonly fail: (error: Error) => void;
}

/** One member's time as leader under one term. It counts its own copy only after its own sync. */
export class Leadership<C, R> {
  readonly term: number;
  readonly #state: MemberState<C, R>;
  readonly #followers = new Map<string, Follower>();
  readonly #waiters = new Map<number, Waiter<R>>();
  readonly #ended: (reason: string) => void;
  readonly #snapshots: SnapshotSender<C, R>;
  #confirming: Confirming[] = [];
  #synced: number;
  #round = 0;
  #flushing = false;
  #over = false;
  readonly #sinceMs: number;
  readonly #openIndex: number;

  constructor(state: MemberState<C, R>, term: number, on: { readonly opened: () => void; readonly ended: (reason: string) => void }) {
    this.#state = state;
    this.term = term;
    this.#ended = on.ended;
    this.#synced = state.log.lastIndex;
    this.#sinceMs = state.clock.nowMs();
    this.#openIndex = state.log.lastIndex + 1;
    this.#snapshots = new SnapshotSender(state, term);
    state.pinnedIndex = () => this.#snapshots.pinnedIndex;
    this.#refreshFollowers();
    void this.#append({ kind: 'open' })
      .then(on.opened)
      .catch(() => undefined);
  }

  /** Older records count, and anything is served, only once the opening record is committed. */
  get open(): boolean {
    return !this.#over && this.#state.committed >= this.#openIndex;
  }

  get lastIndex(): number {
    return this.#state.log.lastIndex;
  }

  followers(): readonly Follower[] {
    return [...this.#followers.values()];
  }

  command(id: string, command: C): Promise<R | undefined> {
    return this.#append({ kind: 'command', id, command });
  }

  async changeGroup(group: readonly GroupMember[]): Promise<void> {
    await this.#append({ kind: 'group', group: [...group] });
  }

  /** Resolves once a majority has answered a round that began after this call: nobody else can have taken over before it. */
  confirmLeadership(): Promise<void> {
    return new Promise((take, fail) => {
      if (this.#over) {
        fail(new UnknownOutcomeError('the term is over'));
        return;
      }
      // All that ask before the next round goes out share it.
      if (!this.#confirming.some((waiting) => waiting.round === this.#round + 1)) {
        void Promise.resolve().then(() => {
          this.#round += 1;
          this.heartbeat();
          this.#settleRounds();
        });
      }
      this.#confirming.push({ round: this.#round + 1, take, fail });
    });
  }

  heartbeat(): void {
    for (const follower of this.#followers.values()) this.#replicateTo(follower);
  }

  /** How long ago a majority, this member included, was last heard. */
  majorityAgeMs(): number {
    const now = this.#state.clock.nowMs();
    return now - (this.#majorityOf((follower) => follower.heardMs, now) ?? this.#sinceMs);
  }

  end(reason: string): void {
    if (this.#over) return;
    this.#over = true;
    this.#snapshots.end();
    for (const waiter of this.#waiters.values()) waiter.fail(new UnknownOutcomeError(reason));
    this.#waiters.clear();
    for (const waiting of this.#confirming) waiting.fail(new UnknownOutcomeError(reason));
    this.#confirming = [];
  }

  #append(payload: Entry['payload']): Promise<R | undefined> {
    return new Promise((take, fail) => {
      if (this.#over) {
        fail(new UnknownOutcomeError('the term is over'));
        return;
      }
      const index = this.#state.log.lastIndex;
      this.#state.log.write(index, [{ term: this.term, payload }], this.#state.committed);
      this.#waiters.set(index + 1, { take, fail });
      if (payload.kind === 'group') this.#refreshFollowers();
      this.#syncLog();
      this.heartbeat();
    });
  }

  #refreshFollowers(): void {
    const now = this.#state.clock.nowMs();
    const group = this.#state.group().filter((groupMember) => groupMember.identity.memberId !== this.#state.self.memberId);
    const known = new Map(this.#followers);
    this.#followers.clear();
    for (const groupMember of group) {
      const key = groupMember.identity.memberId;
      const follower = known.get(key) ?? new Follower(groupMember, this.#state.log.lastIndex, now);
      // The same member may sit there with a vote now.
      follower.groupMember = groupMember;
      this.#followers.set(key, follower);
    }
    this.#snapshots.keepOnly(new Set(this.#followers.keys()));
  }

  /** Writes what is not yet synced here, all of it in one sync. */
  #syncLog(): void {
    if (this.#flushing || this.#over) return;
    this.#flushing = true;
    void this.#state.queue
      .run(async () => {
        while (!this.#over && this.#synced < this.#state.log.lastIndex) {
          const entries = this.#state.log.after(this.#synced, Number.MAX_SAFE_INTEGER);
          const upTo = this.#synced + entries.length;
          await this.#state.persist(this.#synced, entries);
          this.#synced = upTo;
          this.#advance();
        }
        await this.#state.compactIfLong();
      })
      .catch(() => undefined)
      .finally(() => {
        this.#flushing = false;
        if (this.#synced < this.#state.log.lastIndex) this.#syncLog();
      });
  }

  /** The value that a majority of the counted members reaches, `own` standing for this member. */
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

  #advance(): void {
    if (this.#over) return;
    const index = this.#majorityOf((follower) => follower.match, this.#synced) ?? 0;
    // Records of older terms count only under one of this term.
    if (index <= this.#state.committed || this.#state.log.termAt(index) !== this.term) return;
    this.#state.commitTo(index, (position, _entry, result) => {
      const waiter = this.#waiters.get(position);
      this.#waiters.delete(position);
      waiter?.take(result);
    });
    if (!this.#state.group().some((groupMember) => groupMember.identity.memberId === this.#state.self.memberId))
      this.#ended('this member left the group');
    else this.#settleRounds();
  }

  #settleRounds(): void {
    if (!this.open) return;
    const round = this.#majorityOf((follower) => follower.round, this.#round) ?? 0;
    const ready = this.#confirming.filter((waiting) => waiting.round <= round);
    if (ready.length === 0) return;
    this.#confirming = this.#confirming.filter((waiting) => waiting.round > round);
    for (const waiting of ready) waiting.take();
  }

  #replicateTo(follower: Follower): void {
    if (follower.busy) {
      follower.again = true;
      return;
    }
    follower.busy = true;
    follower.again = false;
    void this.#send(follower)
      .catch((error: unknown) => {
        this.#state.options.counters.add('consensus.feedFailed');
        // Nothing but a refusal tells at once that another member id sits at the old address.
        if (
          error instanceof TransportError &&
          error.reason === 'refused' &&
          this.#followers.get(follower.groupMember.identity.memberId) === follower
        ) {
          follower.refused = true;
          this.#state.options.noticed?.();
        }
        follower.failed();
        return false;
      })
      .then((more) => {
        follower.busy = false;
        const current = this.#followers.get(follower.groupMember.identity.memberId) === follower;
        if (!this.#over && current && (more || follower.again)) this.#replicateTo(follower);
      });
  }

  /** Sends one batch; true when there is more to send at once. */
  async #send(follower: Follower): Promise<boolean> {
    const { options, log } = this.#state;
    const round = this.#round;
    if (follower.next <= log.base.index || this.#snapshots.isSending(follower)) return this.#sendSnapshot(follower);
    const previous = follower.next - 1;
    const entries = log.after(previous, follower.limit);
    const lastIndex = log.lastIndex;
    const result = await options.transport.ask(
      follower.groupMember.identity.address,
      consensusCalls.append,
      {
        shard: options.shard,
        memberId: follower.groupMember.identity.memberId,
        from: options.self.name,
        term: this.term,
        leader: options.self,
        previous: { index: previous, term: log.termAt(previous) ?? 0 },
        entries: [...entries],
        commit: this.#state.committed,
      },
      options.bounds.failureTimeoutMs * 2,
    );
    if (!this.#recordReply(follower, result.term)) return false;
    follower.sent();
    follower.round = Math.max(follower.round, round);
    follower.syncMs = result.syncMs;
    if (!result.ok) {
      // Its last index is either short of what was sent, or committed there and so in this log too.
      follower.next = Math.min(result.last, log.lastIndex) + 1;
      this.#settleRounds();
      return true;
    }
    follower.match = Math.max(follower.match, previous + entries.length);
    follower.next = follower.match + 1;
    follower.keepsUp = follower.match >= lastIndex;
    this.#advance();
    this.#settleRounds();
    // A newcomer that has caught up may count: whoever tends the group need not wait for its next look.
    if (!follower.groupMember.isVoter && follower.keepsUp) options.noticed?.();
    return follower.next <= log.lastIndex;
  }

  async #sendSnapshot(follower: Follower): Promise<boolean> {
    const { term, takenIndex, more } = await this.#snapshots.sendChunk(follower);
    if (!this.#recordReply(follower, term)) return false;
    if (takenIndex !== undefined) {
      follower.match = Math.max(follower.match, takenIndex);
      follower.next = follower.match + 1;
    }
    return more;
  }

  /** False when the other side has voted a later term: this term is over. */
  #recordReply(follower: Follower, term: number): boolean {
    if (this.#over) return false;
    if (term > this.term) {
      this.#ended(`term ${term} was voted for elsewhere`);
      return false;
    }
    const now = this.#state.clock.nowMs();
    if (now - follower.heardMs > this.#state.options.bounds.failureTimeoutMs) follower.steadySinceMs = now;
    follower.heardMs = now;
    follower.refused = false;
    return true;
  }
}
