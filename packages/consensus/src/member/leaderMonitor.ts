import { TransportError } from '@pewterlanding/runtime';
import type { Election } from '../election/index.js';
import { consensusCalls } from '../protocol/index.js';
import type { MemberState } from '../state/index.js';
import type { MemberRole } from './memberRole.js';
import { memberTiming } from './memberTiming.js';

const { ticksPerTimeout, restartChecksPerTimeout, restartChecksPerPosition, missedHeartbeats } = memberTiming;

interface LeaderMonitorOptions<C, R> {
  readonly state: MemberState<C, R>;
  readonly role: MemberRole<C, R>;
  readonly election: Election<C, R>;
}

/**
 * Decides when a follower stands for election. Where Raft draws election timeouts at random, they grow here with the member's position
 * in the group's order, so that candidates do not split the votes.
 */
export class LeaderMonitor<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #role: MemberRole<C, R>;
  readonly #election: Election<C, R>;

  constructor({ state, role, election }: LeaderMonitorOptions<C, R>) {
    this.#state = state;
    this.#role = role;
    this.#election = election;
  }

  /** After a start: where all members have just started there is no leader, so no failure timeout has to pass. Repeats itself. */
  checkAfterRestart(): void {
    const { clock, options, heardMs } = this.#state;
    const { failureTimeoutMs } = options.bounds;
    const position = this.#state.position();
    const sinceMs = clock.nowMs() - heardMs;
    // After a failure timeout, checkLeader takes over.
    if (!this.#state.recentlyStarted || this.#role.isLeaving || this.#role.isClosed || position < 0 || sinceMs > failureTimeoutMs) return;
    const checkMs = failureTimeoutMs / restartChecksPerTimeout;
    if (sinceMs >= checkMs * restartChecksPerPosition * position) this.#election.runAfterRestart(checkMs * restartChecksPerPosition);
    clock.after(checkMs, () => this.checkAfterRestart());
  }

  /** At each tick of a follower: stands for election when the leader has failed. */
  checkLeader(): void {
    const position = this.#state.position();
    if (position < 0 || this.#role.isLeaving) return;
    const silentMs = this.#state.clock.nowMs() - this.#state.heardMs;
    const { failureTimeoutMs } = this.#state.options.bounds;
    if (silentMs > failureTimeoutMs * (1 + position / 2)) this.#election.run(false);
    else if (silentMs > (failureTimeoutMs / ticksPerTimeout) * missedHeartbeats && this.#isSuccessor()) void this.#replaceGoneLeader();
  }

  /**
   * Whether the leader's process has ended: two calls in a row lose the connection, the second after dialling again. A process that hangs
   * or is partitioned is found by the failure timeout only.
   */
  async isLeaderGone(): Promise<boolean> {
    const { options, leader } = this.#state;
    if (leader === undefined) return false;
    const isLost = (): Promise<boolean> =>
      options.transport
        .ask(leader.address, consensusCalls.identify, { shard: options.shard }, options.bounds.failureTimeoutMs / ticksPerTimeout)
        .then(
          () => false,
          (error: unknown) => error instanceof TransportError && (error.reason === 'lost' || error.reason === 'unsent'),
        );
    return (await isLost()) && (await isLost());
  }

  /** Whether this member is the first voter in the order besides the leader. */
  #isSuccessor(): boolean {
    const first = this.#state.voters().find((groupMember) => groupMember.identity.memberId !== this.#state.leader?.memberId);
    return this.#state.leader !== undefined && first?.identity.memberId === this.#state.self.memberId;
  }

  /** A process that was killed refuses connections at once, so its successor need not wait for the failure timeout. */
  async #replaceGoneLeader(): Promise<void> {
    if (!(await this.isLeaderGone()) || this.#role.leadership !== undefined) return;
    this.#state.options.counters.add('consensus.ownerGone');
    this.#election.run(false);
  }
}
