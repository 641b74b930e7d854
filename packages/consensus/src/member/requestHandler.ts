import type * as v from 'valibot';
import type { Election } from '../election/index.js';
import type { Identity } from '../group/index.js';
import type { consensusCalls } from '../protocol/index.js';
import { SnapshotReceiver } from '../snapshot/index.js';
import type { MemberState } from '../state/index.js';
import type { LeaderMonitor } from './leaderMonitor.js';
import type { MemberRole } from './memberRole.js';

type RequestOf<K extends keyof typeof consensusCalls> = v.InferOutput<(typeof consensusCalls)[K]['body']>;
type ResponseOf<K extends keyof typeof consensusCalls> = v.InferOutput<(typeof consensusCalls)[K]['response']>;

interface RequestHandlerOptions<C, R> {
  readonly state: MemberState<C, R>;
  readonly role: MemberRole<C, R>;
  readonly election: Election<C, R>;
  readonly monitor: LeaderMonitor<C, R>;
}

/** Answers the calls of the other members of the shard. What changes term, log or file runs in the member's queue, one at a time. */
export class RequestHandler<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #role: MemberRole<C, R>;
  readonly #election: Election<C, R>;
  readonly #monitor: LeaderMonitor<C, R>;
  readonly #receiver = new SnapshotReceiver();

  constructor({ state, role, election, monitor }: RequestHandlerOptions<C, R>) {
    this.#state = state;
    this.#role = role;
    this.#election = election;
    this.#monitor = monitor;
  }

  /** Whether this member finds the leader unreachable, too. Changes nothing. */
  async preVote(request: RequestOf<'preVote'>): Promise<ResponseOf<'preVote'>> {
    const { heardMs, options, clock, currentTerm, log } = this.#state;
    const { leadership } = this.#role;
    const unreachable =
      leadership === undefined
        ? clock.nowMs() - heardMs > options.bounds.failureTimeoutMs
        : leadership.majorityAgeMs() > options.bounds.failureTimeoutMs;
    const isGone = !unreachable && !request.transfer && leadership === undefined && (await this.#monitor.isLeaderGone());
    return {
      unreachable: unreachable || request.transfer || isGone,
      recentlyStarted: this.#state.recentlyStarted,
      term: currentTerm,
      last: log.last,
    };
  }

  /** Grants a vote for a term above the current one, once it is synced. */
  vote(request: RequestOf<'vote'>): Promise<ResponseOf<'vote'>> {
    return this.#state.queue.run(async () => {
      const granted = request.term > this.#state.currentTerm;
      if (granted) {
        this.#role.stepDown(`voted for ${request.from} in term ${request.term}`);
        this.#state.recentlyStarted = false;
        await this.#state.vote(request.term);
        this.#state.heardMs = this.#state.clock.nowMs();
      }
      // Two candidates at the same time could refuse each other for ever: the later one in the order starts its timeout again.
      else if (this.#role.leadership === undefined && this.#isBefore(request.from)) this.#state.heardMs = this.#state.clock.nowMs();
      return { granted, term: this.#state.currentTerm, last: this.#state.log.last };
    });
  }

  /** Raft's AppendEntries. `last` in the response is where the sender has to go on. */
  append(request: RequestOf<'append'>): Promise<ResponseOf<'append'>> {
    return this.#state.queue.run(async () => {
      const { log } = this.#state;
      const { previous, entries, commit } = request;
      const respond = (ok: boolean, last: number): ResponseOf<'append'> => ({
        ok,
        term: this.#state.currentTerm,
        last,
        syncMs: this.#state.syncMs,
      });
      if (!(await this.#acceptLeader(request.term, request.leader))) return respond(false, log.lastIndex);
      if (previous.index < log.base.index) return respond(false, this.#state.commitIndex);
      if (log.termAt(previous.index) !== previous.term) return respond(false, Math.min(log.lastIndex, previous.index - 1));
      const changed = log.write(previous.index, entries, this.#state.commitIndex);
      if (changed !== undefined) await this.#state.persist(changed - 1, log.after(changed - 1, Number.MAX_SAFE_INTEGER));
      const matchIndex = previous.index + entries.length;
      this.#state.commitTo(Math.min(commit, matchIndex));
      await this.#state.compactIfLong();
      return respond(true, matchIndex);
    });
  }

  /** Raft's InstallSnapshot, by chunks; the last is answered once the snapshot is synced. */
  installSnapshot(request: RequestOf<'installSnapshot'>): Promise<ResponseOf<'installSnapshot'>> {
    return this.#state.queue.run(async () => {
      const respond = (outcome: ResponseOf<'installSnapshot'>['outcome'], held = 0): ResponseOf<'installSnapshot'> => ({
        outcome,
        term: this.#state.currentTerm,
        held,
      });
      if (!(await this.#acceptLeader(request.term, request.leader))) return respond('refused');
      // The last chunk is sent again where the response to it was lost.
      if (request.index <= this.#state.commitIndex) return respond('taken', request.lengthBytes);
      const received = this.#receiver.receive(request);
      if (received.kind === 'incomplete') return respond('held', received.offset);
      if (received.kind === 'invalid') {
        this.#reportRefusedSnapshot(request, received.reason);
        return respond('refused');
      }
      if (!(await this.#state.restoreSnapshot(received.snapshot))) {
        this.#reportRefusedSnapshot(request, 'it cannot be read');
        return respond('refused');
      }
      return respond('taken', request.lengthBytes);
    });
  }

  /** Entries for a candidate that this member has voted for, and that adopts its log. */
  fetch(request: RequestOf<'fetch'>): ResponseOf<'fetch'> {
    const { log, currentTerm } = this.#state;
    const ok = request.term === currentTerm && request.after >= log.base.index;
    return { ok, entries: ok ? [...log.after(request.after, request.limit)] : [] };
  }

  /** Raft's TimeoutNow: the leader asks this member to stand for election. */
  transfer(request: RequestOf<'transfer'>): ResponseOf<'transfer'> {
    const { currentTerm } = this.#state;
    const ok = !this.#role.isLeaving && request.term === currentTerm && this.#role.leadership === undefined && this.#state.position() >= 0;
    if (ok) this.#election.run(true);
    return { ok };
  }

  /** Whether the voter of that name comes before this one in the group's order. */
  #isBefore(name: string): boolean {
    const other = this.#state.voters().findIndex((groupMember) => groupMember.identity.name === name);
    return other >= 0 && other < this.#state.position();
  }

  /** Follows the sender as leader; false where a later term was voted for. */
  async #acceptLeader(term: number, leader: Identity): Promise<boolean> {
    const { options } = this.#state;
    if (term < this.#state.currentTerm) {
      options.counters.add('consensus.staleTerm');
      options.log.warn(`${options.shard}: refused ${leader.name} under term ${term}; ${this.#state.currentTerm} was voted`);
      return false;
    }
    if (term > this.#state.currentTerm) {
      this.#role.stepDown(`term ${term} is led by ${leader.name}`);
      await this.#state.vote(term);
    }
    this.#state.leader = leader;
    this.#state.recentlyStarted = false;
    this.#state.heardMs = this.#state.clock.nowMs();
    return true;
  }

  #reportRefusedSnapshot({ from, index }: RequestOf<'installSnapshot'>, reason: string): void {
    const { options } = this.#state;
    options.counters.add('consensus.snapshotRefused');
    options.log.warn(`${options.shard}: refused the snapshot of index ${index} from ${from}: ${reason}`);
  }
}
