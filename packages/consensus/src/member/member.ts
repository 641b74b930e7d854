import type { Address } from '@pewterlanding/model';
import { every, pause } from '@pewterlanding/runtime';
import { Election } from '../election/index.js';
import type { GroupMember, Identity } from '../group/index.js';
import { UnknownOutcomeError } from '../protocol/index.js';
import type { ShardView } from '../protocol/index.js';
import { transferTarget } from '../replication/index.js';
import type { FollowerView, Leadership } from '../replication/index.js';
import type { Snapshot } from '../snapshot/index.js';
import { MemberState } from '../state/index.js';
import type { MemberOptions } from '../state/index.js';
import { LeaderMonitor } from './leaderMonitor.js';
import { MemberRole } from './memberRole.js';
import { memberTiming } from './memberTiming.js';
import { RequestHandler } from './requestHandler.js';

/** A leader that a majority has not answered for so many failure timeouts steps down. */
const stepDownTimeouts = 3;

type Requests = RequestHandler<unknown, unknown>;
type Response<K extends 'preVote' | 'vote' | 'append' | 'installSnapshot' | 'fetch' | 'transfer'> = ReturnType<Requests[K]>;

/** One member of a replicated shard: follows a leader, or leads the shard under a term. The protocol is Raft with pre-vote and learners. */
export class Member<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #role: MemberRole<C, R>;
  readonly #election: Election<C, R>;
  readonly #monitor: LeaderMonitor<C, R>;
  readonly #requests: RequestHandler<C, R>;
  readonly #stopTicks: () => void;

  private constructor(state: MemberState<C, R>) {
    const role = new MemberRole(state);
    const election = new Election(state, (term) => role.lead(term));
    const monitor = new LeaderMonitor({ state, role, election });
    this.#state = state;
    this.#role = role;
    this.#election = election;
    this.#monitor = monitor;
    this.#requests = new RequestHandler({ state, role, election, monitor });
    this.#stopTicks = every(state.clock, state.options.bounds.failureTimeoutMs / memberTiming.ticksPerTimeout, () => this.#tick());
    monitor.checkAfterRestart();
  }

  /**
   * Opens the member's file. 'damaged' where a record before the file's tail is damaged: the member has to rejoin under a new member id.
   * Rejects with UnsupportedFormatError where the file is of a later format.
   */
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

  /** The shard's name. */
  get shard(): string {
    return this.#state.options.shard;
  }

  /** This member's identity. */
  get self(): Identity {
    return this.#state.self;
  }

  /** The current term. */
  get term(): number {
    return this.#state.currentTerm;
  }

  /** The commit index. */
  get committed(): number {
    return this.#state.commitIndex;
  }

  /** True once this member serves as leader: the entry that opens its term is committed. */
  get isLeader(): boolean {
    return this.#role.leadership?.isOpen ?? false;
  }

  /** The leader's address as far as it is known. */
  get leaderAddress(): Address | undefined {
    return this.#state.leaderAddress();
  }

  /** The newest group in the log, committed or not. */
  group(): readonly GroupMember[] {
    return this.#state.group();
  }

  /** Whether the newest group is committed. Until then a member that it removes may still be needed, and its new voters may not count. */
  get groupCommitted(): boolean {
    const entry = this.#state.log.groupEntry();
    return entry === undefined || entry.index <= this.#state.commitIndex;
  }

  /** This member as operators read it. */
  view(): ShardView {
    const { term, committed } = this;
    return {
      shard: this.shard,
      isLeader: this.isLeader,
      leader: this.#state.leader?.name,
      term,
      committed,
      group: [...this.group()],
      behind: this.followers().map(({ groupMember, entriesBehind }) => ({ name: groupMember.identity.name, behind: entriesBehind })),
    };
  }

  /** The other members as the leader sees them; none where this member does not lead. */
  followers(): readonly FollowerView[] {
    const { leadership } = this.#role;
    if (leadership === undefined) return [];
    return leadership.followers().map(({ groupMember, matchIndex, heardMs, isRefused, keepsUp }) => {
      const entriesBehind = leadership.lastIndex - matchIndex;
      const hasReplied = matchIndex > 0;
      // In a short log a learner is hardly behind before it has replied at all.
      const isCaughtUp = hasReplied && (entriesBehind <= 1 || keepsUp);
      return { groupMember, entriesBehind, heardMs, isRefused, isCaughtUp, hasReplied };
    });
  }

  /**
   * Replicates a command and resolves with its result once it is committed. A command has one effect however often it is sent under its
   * id. Rejects with NotLeaderError, or with UnknownOutcomeError where the leadership ends before the command is committed.
   */
  async propose(id: string, command: C): Promise<R> {
    const result = await this.#role.serving().command(id, command);
    if (result === undefined) throw new UnknownOutcomeError(`no return for ${id}`);
    return result;
  }

  /**
   * Resolves when the state machine here is surely as new as any committed command, for linearizable reads. Rejects with NotLeaderError or
   * UnknownOutcomeError.
   */
  async confirmLeadership(): Promise<void> {
    await this.#role.serving().confirmLeadership();
  }

  /**
   * Replicates a new group. One change at a time: rejects with UnknownOutcomeError while another is not committed, and with NotLeaderError.
   * The caller keeps to changes of one voter, so that successive majorities overlap.
   */
  async changeGroup(group: readonly GroupMember[]): Promise<void> {
    const leadership = this.#role.serving();
    if (!this.groupCommitted) throw new UnknownOutcomeError('a group change is under way');
    await leadership.changeGroup(group);
  }

  /** Asks a voter whose log is complete to take over, if there is one. */
  transferLeadership(): void {
    const { leadership } = this.#role;
    const target = leadership
      ?.followers()
      .find(({ groupMember, matchIndex }) => groupMember.isVoter && matchIndex === leadership.lastIndex);
    if (leadership !== undefined && target !== undefined) this.#election.requestTransfer(target.groupMember, leadership.term);
  }

  /** Before the process ends: takes on no leadership any more, and resolves when another member leads or after `patienceMs`. */
  async leave(patienceMs: number): Promise<void> {
    this.#role.isLeaving = true;
    const { clock, options } = this.#state;
    const untilMs = clock.nowMs() + patienceMs;
    while (this.#role.leadership !== undefined && clock.nowMs() < untilMs) {
      this.transferLeadership();
      await pause(clock, options.bounds.failureTimeoutMs / memberTiming.transfersPerTimeout);
    }
  }

  /** Stops at once: steps down and does nothing more on its own. */
  close(): void {
    this.#role.isClosed = true;
    this.#stopTicks();
    this.#role.stepDown('closed');
  }

  /** Answers whether the leader is unreachable. This and the next five are calls of other members; see RequestHandler. */
  preVote(request: Parameters<Requests['preVote']>[0]): Response<'preVote'> {
    return this.#requests.preVote(request);
  }

  /** Votes in an election. */
  vote(request: Parameters<Requests['vote']>[0]): Response<'vote'> {
    return this.#requests.vote(request);
  }

  /** Takes entries from a leader. */
  append(request: Parameters<Requests['append']>[0]): Response<'append'> {
    return this.#requests.append(request);
  }

  /** Takes a chunk of a snapshot from a leader. */
  installSnapshot(request: Parameters<Requests['installSnapshot']>[0]): Response<'installSnapshot'> {
    return this.#requests.installSnapshot(request);
  }

  /** Returns entries to a candidate. */
  fetch(request: Parameters<Requests['fetch']>[0]): Response<'fetch'> {
    return this.#requests.fetch(request);
  }

  /** Stands for election at the leader's request. */
  transfer(request: Parameters<Requests['transfer']>[0]): Response<'transfer'> {
    return this.#requests.transfer(request);
  }

  #tick(): void {
    const { leadership } = this.#role;
    if (leadership === undefined) {
      this.#monitor.checkLeader();
      return;
    }
    this.#role.announce();
    leadership.heartbeat();
    // A leader without a majority can neither commit nor confirm a read, so it steps down.
    if (leadership.majorityAgeMs() > this.#state.options.bounds.failureTimeoutMs * stepDownTimeouts)
      this.#role.stepDown('a majority is silent');
    else this.#transferToBetter(leadership);
  }

  /** Transfers the leadership to a voter that comes earlier in the order, or away from a slow disk. */
  #transferToBetter(leadership: Leadership<C, R>): void {
    if (!leadership.isOpen || this.#role.isLeaving) return;
    const target = transferTarget(this.#state, leadership);
    if (target !== undefined) this.#election.requestTransfer(target.groupMember, leadership.term);
  }
}
