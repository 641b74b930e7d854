import type * as v from 'valibot';
import type { GroupMember } from '../group/index.js';
import { consensusCalls } from '../protocol/index.js';
import type { MemberState } from '../state/index.js';
import { askUntilMajority } from './askUntilMajority.js';
import { LogAdoption } from './logAdoption.js';
import type { Vote } from './vote.js';

type PreVoteResponse = v.InferOutput<typeof consensusCalls.preVote.response>;

interface CallTarget {
  readonly shard: string;
  readonly memberId: string;
  readonly from: MemberState<unknown, unknown>['self']['name'];
}

/**
 * How a member becomes leader: a majority finds the leader unreachable (pre-vote, Raft dissertation, section 9.6), a majority votes for a
 * new term, and the best log among the voters is adopted.
 */
export class Election<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #onElected: (term: number) => void;
  readonly #logAdoption: LogAdoption<C, R>;
  #isRunning = false;

  /** `onElected` is called with the term that this member is to lead. */
  constructor(state: MemberState<C, R>, onElected: (term: number) => void) {
    this.#state = state;
    this.#onElected = onElected;
    this.#logAdoption = new LogAdoption(state, (groupMember, term) => this.requestTransfer(groupMember, term));
  }

  /** Stands for election unless it does already. `isTransfer` where the present leader asked for it, so that it need not be unreachable. */
  run(isTransfer: boolean): void {
    this.#start(() => this.#attempt(isTransfer));
  }

  /** Stands for election where every member that answers within `waitMs` has just started too, so that there is no leader to wait for. */
  runAfterRestart(waitMs: number): void {
    this.#start(() => this.#attemptAfterRestart(waitMs));
  }

  /** Asks a member to stand for election and take over from this one. */
  requestTransfer(groupMember: GroupMember, term: number): void {
    const { options } = this.#state;
    options.transport
      .ask(groupMember.identity.address, consensusCalls.transfer, { ...this.#target(groupMember), term }, options.bounds.failureTimeoutMs)
      .catch(() => options.counters.add('consensus.offerFailed'));
  }

  #start(attempt: () => Promise<void>): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    void attempt()
      .catch(() => this.#state.options.counters.add('consensus.campaignFailed'))
      .finally(() => {
        this.#isRunning = false;
      });
  }

  async #attempt(isTransfer: boolean): Promise<void> {
    const responses = await this.#preVote(isTransfer, this.#state.options.bounds.failureTimeoutMs, (response) => response.unreachable);
    // A member that alone does not hear the leader must not depose it.
    if (responses.filter(({ unreachable }) => unreachable).length + 1 < this.#state.majority()) return;
    await this.#requestVotes(responses);
  }

  async #attemptAfterRestart(waitMs: number): Promise<void> {
    // All members get their time to answer: a single one may know a leader.
    const responses = await this.#preVote(false, waitMs, () => false);
    const agreeing = responses.filter(({ unreachable, recentlyStarted }) => unreachable || recentlyStarted);
    // Some member hears a leader; that leader will be heard here too.
    if (agreeing.length < responses.length) this.#state.recentlyStarted = false;
    if (!this.#state.recentlyStarted || agreeing.length + 1 < this.#state.majority()) return;
    this.#state.options.counters.add('consensus.freshStart');
    await this.#requestVotes(responses);
  }

  async #preVote(isTransfer: boolean, waitMs: number, agrees: (response: PreVoteResponse) => boolean): Promise<readonly PreVoteResponse[]> {
    const { options, currentTerm: term } = this.#state;
    const ask = (groupMember: GroupMember): Promise<PreVoteResponse> =>
      options.transport.ask(
        groupMember.identity.address,
        consensusCalls.preVote,
        { ...this.#target(groupMember), term, transfer: isTransfer },
        waitMs,
      );
    const answers = await askUntilMajority({ members: this.#otherVoters(), ask, agrees, majority: () => this.#state.majority() });
    return answers.map(({ response }) => response);
  }

  /** Votes for itself in a new term and asks the others to; with a majority of votes it adopts the best log and leads. */
  async #requestVotes(preVotes: readonly PreVoteResponse[]): Promise<void> {
    const { options } = this.#state;
    const waitMs = options.bounds.failureTimeoutMs;
    const term = Math.max(this.#state.currentTerm, ...preVotes.map((response) => response.term)) + 1;
    const hasVoted = await this.#state.queue.run(async () => {
      if (term <= this.#state.currentTerm) return false;
      await this.#state.vote(term);
      return true;
    });
    if (!hasVoted) return;
    const answers = await askUntilMajority({
      members: this.#otherVoters(),
      ask: (groupMember) =>
        options.transport.ask(groupMember.identity.address, consensusCalls.vote, { ...this.#target(groupMember), term }, waitMs),
      agrees: (response) => response.granted,
      majority: () => this.#state.majority(),
    });
    const votes: Vote[] = answers
      .filter(({ response }) => response.granted)
      .map(({ groupMember, response }) => ({ groupMember, last: response.last }));
    if (votes.length + 1 < this.#state.majority()) return;
    if (!(await this.#logAdoption.adoptBest(term, votes))) return;
    // The adopted log may have brought a newer group: the votes have to be a majority of that one too.
    const voterIds = new Set([options.self.memberId, ...votes.map(({ groupMember }) => groupMember.identity.memberId)]);
    const voteCount = this.#state.voters().filter((groupMember) => voterIds.has(groupMember.identity.memberId)).length;
    if (this.#state.position() >= 0 && voteCount >= this.#state.majority()) this.#onElected(term);
  }

  #otherVoters(): readonly GroupMember[] {
    return this.#state.voters().filter((groupMember) => groupMember.identity.memberId !== this.#state.self.memberId);
  }

  #target(groupMember: GroupMember): CallTarget {
    return { shard: this.#state.options.shard, memberId: groupMember.identity.memberId, from: this.#state.self.name };
  }
}
