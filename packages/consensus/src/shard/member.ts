import type * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import { every, pause, TransportError } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Snapshot } from '../snapshot/snapshot.js';
import { SnapshotReceiver } from '../snapshot/snapshotReceiver.js';
import { Election } from '../election/election.js';
import type { FollowerView } from '../election/followerView.js';
import type { Identity } from '../group/identity.js';
import type { MemberOptions } from '../state/memberOptions.js';
import { MemberState } from '../state/memberState.js';
import { NotLeaderError } from '../protocol/notLeaderError.js';
import { Leadership } from '../election/leadership.js';
import type { ShardView } from '../protocol/shardView.js';
import type { GroupMember } from '../group/groupMember.js';
import { transferTarget } from '../election/transferTarget.js';
import { UnknownOutcomeError } from '../protocol/unknownOutcomeError.js';

type BodyOf<K extends keyof typeof consensusCalls> = v.InferOutput<(typeof consensusCalls)[K]['body']>;
type ReplyOf<K extends keyof typeof consensusCalls> = v.InferOutput<(typeof consensusCalls)[K]['response']>;

/** Heartbeats and checks go several times into one failure timeout. */
const ticksPerTimeout = 5;
/** A member that has just started looks so often into a failure timeout whether all others have, too. */
const restartChecksPerTimeout = 40;
/**
 * So many looks later for each place in the order, or those who start together would take votes from each other. No attempt waits
 * longer for a member that says nothing, so that who is first in the order is done before the next one begins.
 */
const checksPerPlace = 2;
/** A member that leaves asks others so often to take over. */
const offersPerTimeout = 20;
/** So many heartbeats a leader may miss before somebody looks whether it is still there. */
const missedHeartbeats = 1.5;

/** One member of a replicated shard: follows a leader, or leads the shard under a term. */
export class Member<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #election: Election<C, R>;
  readonly #stopTicks: () => void;
  #leadership: Leadership<C, R> | undefined;
  #announced = false;
  #leaving = false;
  #closed = false;
  readonly #receiver = new SnapshotReceiver();

  private constructor(state: MemberState<C, R>) {
    this.#state = state;
    this.#election = new Election(state, (term) => this.#beginLeadership(term));
    this.#stopTicks = every(state.clock, state.options.bounds.failureTimeoutMs / ticksPerTimeout, () => this.#tick());
    this.#checkRecentStart();
  }

  /** Opens the member's file. A file damaged before its tail is refused: the caller must rejoin under a new member id. */
  static async open<C, R>(options: MemberOptions<C, R>): Promise<Member<C, R> | 'damaged'> {
    const { file } = options;
    const bootstrap: Snapshot = {
      index: 0,
      term: 0,
      group: [...options.bootstrap],
      stateMachine: options.stateMachine.snapshot(),
      deduplication: [],
    };
    const read = await file.open(bootstrap);
    return read.damaged ? 'damaged' : new Member(new MemberState(options, file, read.currentTerm, read.log));
  }

  get shard(): string {
    return this.#state.options.shard;
  }

  get self(): Identity {
    return this.#state.self;
  }

  get term(): number {
    return this.#state.currentTerm;
  }

  get committed(): number {
    return this.#state.committed;
  }

  /** True once this member serves: its opening record is committed. */
  get isLeader(): boolean {
    return this.#leadership?.open ?? false;
  }

  get leaderAddress(): Address | undefined {
    return this.#state.leaderAddress();
  }

  group(): readonly GroupMember[] {
    return this.#state.group();
  }

  /** Whether the newest group is committed. Until then a member that it lacks may still be needed, and its new votes may not count. */
  get groupCommitted(): boolean {
    const record = this.#state.log.groupRecord();
    return record === undefined || record.index <= this.#state.committed;
  }

  /** This member as operators read it. */
  view(): ShardView {
    const behind = this.followers().map((follower) => ({ name: follower.groupMember.identity.name, behind: follower.behind }));
    const { term, committed } = this;
    return {
      shard: this.shard,
      isLeader: this.isLeader,
      leader: this.#state.leader?.name,
      term,
      committed,
      group: [...this.group()],
      behind,
    };
  }

  /** What the leader knows of the others, for group changes and for operators. */
  followers(): readonly FollowerView[] {
    const leadership = this.#leadership;
    if (leadership === undefined) return [];
    return leadership.followers().map(({ groupMember, match, heardMs, refused, keepsUp }) => {
      const behind = leadership.lastIndex - match;
      // In a short log a newcomer is hardly behind before it has answered anything.
      return { groupMember, behind, heardMs, refused, caughtUp: match > 0 && (behind <= 1 || keepsUp), answered: match > 0 };
    });
  }

  /** Has a command written by a majority. The same id has one effect however often it is sent. */
  async propose(id: string, command: C): Promise<R> {
    const leadership = this.#serving();
    const back = await leadership.command(id, command);
    if (back === undefined) throw new UnknownOutcomeError(`no return for ${id}`);
    return back;
  }

  /** Resolves when what this member holds is surely the newest; for reads that must not come from the past. */
  async confirmLeadership(): Promise<void> {
    await this.#serving().confirmLeadership();
  }

  /** Writes a new group; only one change may be under way, and only after the opening record. */
  async changeGroup(group: readonly GroupMember[]): Promise<void> {
    const leadership = this.#serving();
    const record = this.#state.log.groupRecord();
    if (record !== undefined && record.index > this.#state.committed) throw new UnknownOutcomeError('a group change is under way');
    await leadership.changeGroup(group);
  }

  /** Asks the best of the other members to take over; for a member that is to leave. */
  transferLeadership(): void {
    const leadership = this.#leadership;
    const best = leadership?.followers().find((follower) => follower.groupMember.isVoter && follower.match === leadership.lastIndex);
    if (leadership !== undefined && best !== undefined) this.#election.offer(best.groupMember, leadership.term);
  }

  /** Before this process ends: leads nothing any more, and takes nothing on. Resolves when another leads the shard, or patience ends. */
  async leave(patienceMs: number): Promise<void> {
    this.#leaving = true;
    const { clock, options } = this.#state;
    const untilMs = clock.nowMs() + patienceMs;
    while (this.#leadership !== undefined && clock.nowMs() < untilMs) {
      this.transferLeadership();
      await pause(clock, options.bounds.failureTimeoutMs / offersPerTimeout);
    }
  }

  close(): void {
    this.#closed = true;
    this.#stopTicks();
    this.#endLeadership('closed');
  }

  async preVote(body: BodyOf<'preVote'>): Promise<ReplyOf<'preVote'>> {
    const { heardMs, options, clock, currentTerm, log } = this.#state;
    const unreachable =
      this.#leadership === undefined
        ? clock.nowMs() - heardMs > options.bounds.failureTimeoutMs
        : this.#leadership.majorityAgeMs() > options.bounds.failureTimeoutMs;
    const gone = !unreachable && !body.transfer && this.#leadership === undefined && (await this.#leaderGone());
    return {
      unreachable: unreachable || body.transfer || gone,
      recentlyStarted: this.#state.recentlyStarted,
      term: currentTerm,
      last: log.last,
    };
  }

  vote(body: BodyOf<'vote'>): Promise<ReplyOf<'vote'>> {
    return this.#state.queue.run(async () => {
      const granted = body.term > this.#state.currentTerm;
      if (granted) {
        this.#endLeadership(`voted for ${body.from} in term ${body.term}`);
        this.#state.recentlyStarted = false;
        await this.#state.vote(body.term);
        this.#state.heardMs = this.#state.clock.nowMs();
      }
      // Two that stand in the same moments would refuse each other for ever: who comes later in the order waits for its turn anew.
      else if (this.#leadership === undefined && this.#comesBefore(body.from)) this.#state.heardMs = this.#state.clock.nowMs();
      return { granted, term: this.#state.currentTerm, last: this.#state.log.last };
    });
  }

  append(body: BodyOf<'append'>): Promise<ReplyOf<'append'>> {
    return this.#state.queue.run(async () => {
      const { log } = this.#state;
      const back = (ok: boolean, last: number): ReplyOf<'append'> => ({
        ok,
        term: this.#state.currentTerm,
        last,
        syncMs: this.#state.syncMs,
      });
      if (!(await this.#acceptLeader(body.term, body.leader))) return back(false, log.lastIndex);
      if (body.previous.index < log.base.index) return back(false, this.#state.committed);
      if (log.termAt(body.previous.index) !== body.previous.term) return back(false, Math.min(log.lastIndex, body.previous.index - 1));
      const changed = log.write(body.previous.index, body.entries, this.#state.committed);
      if (changed !== undefined) await this.#state.persist(changed - 1, log.after(changed - 1, Number.MAX_SAFE_INTEGER));
      const matched = body.previous.index + body.entries.length;
      this.#state.commitTo(Math.min(body.commit, matched));
      await this.#state.compactIfLong();
      return back(true, matched);
    });
  }

  installSnapshot(body: BodyOf<'installSnapshot'>): Promise<ReplyOf<'installSnapshot'>> {
    return this.#state.queue.run(async () => {
      const back = (outcome: ReplyOf<'installSnapshot'>['outcome'], held = 0): ReplyOf<'installSnapshot'> => ({
        outcome,
        term: this.#state.currentTerm,
        held,
      });
      if (!(await this.#acceptLeader(body.term, body.leader))) return back('refused');
      // Its last chunk may have come twice, where the answer to the first was lost.
      if (body.index <= this.#state.committed) return back('taken', body.lengthBytes);
      const received = this.#receiver.take(body);
      if (received.kind === 'held') return back('held', received.held);
      if (received.kind === 'bad') return this.#refuseSnapshot(body, received.reason, back('refused'));
      if (!(await this.#state.restoreSnapshot(received.snapshot))) return this.#refuseSnapshot(body, 'it cannot be read', back('refused'));
      return back('taken', body.lengthBytes);
    });
  }

  #refuseSnapshot<T>({ from, index }: BodyOf<'installSnapshot'>, reason: string, reply: T): T {
    this.#state.options.counters.add('consensus.snapshotRefused');
    this.#state.options.log.warn(`${this.shard}: refused the snapshot of index ${index} from ${from}: ${reason}`);
    return reply;
  }

  fetch(body: BodyOf<'fetch'>): ReplyOf<'fetch'> {
    const { log, currentTerm } = this.#state;
    const ok = body.term === currentTerm && body.after >= log.base.index;
    return { ok, entries: ok ? [...log.after(body.after, body.limit)] : [] };
  }

  transfer(body: BodyOf<'transfer'>): ReplyOf<'transfer'> {
    const ok = !this.#leaving && body.term === this.#state.currentTerm && this.#leadership === undefined && this.#state.position() >= 0;
    if (ok) this.#election.run(true);
    return { ok };
  }

  /** Whether a voter of that name comes before this one in the order. */
  #comesBefore(name: string): boolean {
    const other = this.#state.voters().findIndex((groupMember) => groupMember.identity.name === name);
    return other >= 0 && other < this.#state.position();
  }

  /** Takes the sender as leader unless a later term was voted. */
  async #acceptLeader(term: number, leader: Identity): Promise<boolean> {
    if (term < this.#state.currentTerm) {
      this.#state.options.counters.add('consensus.staleTerm');
      this.#state.options.log.warn(`${this.shard}: refused ${leader.name} under term ${term}; ${this.#state.currentTerm} was voted`);
      return false;
    }
    if (term > this.#state.currentTerm) {
      this.#endLeadership(`term ${term} is led by ${leader.name}`);
      await this.#state.vote(term);
    }
    this.#state.leader = leader;
    this.#state.recentlyStarted = false;
    this.#state.heardMs = this.#state.clock.nowMs();
    return true;
  }

  #serving(): Leadership<C, R> {
    if (this.#leadership?.open !== true) throw new NotLeaderError(this.#leadership === undefined ? this.leaderAddress : undefined);
    return this.#leadership;
  }

  #beginLeadership(term: number): void {
    this.#state.leader = this.#state.self;
    this.#state.recentlyStarted = false;
    this.#leadership = new Leadership(this.#state, term, {
      opened: () => this.#announceLeadership(),
      ended: (reason) => this.#endLeadership(reason),
    });
    this.#state.options.log.info(`${this.shard}: opens term ${term}`);
    this.#state.options.counters.add('consensus.terms');
  }

  #endLeadership(reason: string): void {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    this.#leadership = undefined;
    this.#state.leader = undefined;
    this.#state.heardMs = this.#state.clock.nowMs();
    leadership.end(reason);
    this.#state.options.log.info(`${this.shard}: term ${leadership.term} ends here: ${reason}`);
    if (this.#announced) this.#state.options.leadershipChanged?.(undefined);
    this.#announced = false;
  }

  #tick(): void {
    const leadership = this.#leadership;
    if (leadership === undefined) {
      this.#checkLeader();
      return;
    }
    this.#announceLeadership();
    leadership.heartbeat();
    // A leader that a majority no longer hears can neither write nor confirm; it says so instead of holding on.
    if (leadership.majorityAgeMs() > this.#state.options.bounds.failureTimeoutMs * 3) this.#endLeadership('a majority is silent');
    else this.#offerToBetterPlaced(leadership);
  }

  #announceLeadership(): void {
    const leadership = this.#leadership;
    if (leadership?.open !== true || this.#announced) return;
    this.#announced = true;
    this.#state.options.leadershipChanged?.(leadership.term);
  }

  /** After all lost power at once there is no leader whose failure timeout would have to be waited for. */
  #checkRecentStart(): void {
    const { clock, options, heardMs } = this.#state;
    const { failureTimeoutMs } = options.bounds;
    const position = this.#state.position();
    const sinceMs = clock.nowMs() - heardMs;
    // From then on the ordinary turns do.
    if (!this.#state.recentlyStarted || this.#leaving || this.#closed || position < 0 || sinceMs > failureTimeoutMs) return;
    const lookMs = failureTimeoutMs / restartChecksPerTimeout;
    if (sinceMs >= lookMs * checksPerPlace * position) this.#election.runAfterRestart(lookMs * checksPerPlace);
    clock.after(lookMs, () => this.#checkRecentStart());
  }

  /** Takes over only in turn: the later the place in the order, the longer the wait. */
  #checkLeader(): void {
    const position = this.#state.position();
    if (position < 0 || this.#leaving) return;
    const silentMs = this.#state.clock.nowMs() - this.#state.heardMs;
    const { failureTimeoutMs } = this.#state.options.bounds;
    if (silentMs > failureTimeoutMs * (1 + position / 2)) this.#election.run(false);
    else if (silentMs > (failureTimeoutMs / ticksPerTimeout) * missedHeartbeats && this.#isSuccessor()) void this.#replaceGoneLeader();
  }

  /** The first in the order beside the leader. */
  #isSuccessor(): boolean {
    const first = this.#state.voters().find((groupMember) => groupMember.identity.memberId !== this.#state.leader?.memberId);
    return this.#state.leader !== undefined && first?.identity.memberId === this.#state.self.memberId;
  }

  /** A killed process refuses connections at once; one that is frozen or cut off is found only by the failure timeout. */
  async #replaceGoneLeader(): Promise<void> {
    if (!(await this.#leaderGone()) || this.#leadership !== undefined) return;
    this.#state.options.counters.add('consensus.ownerGone');
    this.#election.run(false);
  }

  /** True when the leader's circuit is lost twice in a row, the second time at once after dialling anew. */
  async #leaderGone(): Promise<boolean> {
    const { options, leader } = this.#state;
    if (leader === undefined) return false;
    const lost = (): Promise<boolean> =>
      options.transport
        .ask(leader.address, consensusCalls.identify, { shard: options.shard }, options.bounds.failureTimeoutMs / ticksPerTimeout)
        .then(
          () => false,
          (error: unknown) => error instanceof TransportError && (error.reason === 'lost' || error.reason === 'unsent'),
        );
    return (await lost()) && (await lost());
  }

  /** Hands over to a better-placed member that has caught up, or away from a slow disk. */
  #offerToBetterPlaced(leadership: Leadership<C, R>): void {
    if (!leadership.open || this.#leaving) return;
    const best = transferTarget(this.#state, leadership);
    if (best !== undefined) this.#election.offer(best.groupMember, leadership.term);
  }
}
