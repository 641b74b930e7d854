import type * as v from 'valibot';
import { TransportError } from '@pewterlanding/runtime';
import type { Entry } from '../log/index.js';
import { consensusCalls } from '../protocol/index.js';
import type { MemberState } from '../state/index.js';
import type { Follower } from './follower.js';
import type { SnapshotSender } from './snapshotSender.js';

type AppendRequest = v.InferOutput<typeof consensusCalls.append.body>;

interface LogReplicatorOptions<C, R> {
  readonly state: MemberState<C, R>;
  readonly term: number;
  readonly snapshots: SnapshotSender<C, R>;
  /** Whether the term has ended at this member. */
  readonly hasEnded: () => boolean;
  /** Whether the follower still belongs to the group. */
  readonly isCurrent: (follower: Follower) => boolean;
  /** The newest round of leadership confirmation. */
  readonly round: () => number;
  /** Called when a follower has answered a round. */
  readonly onRoundAnswered: () => void;
  /** Called when a follower's log was extended to match. */
  readonly onMatch: () => void;
  readonly onHigherTerm: (reason: string) => void;
}

/** An append is answered after the follower's sync, which may take long: it may take so many failure timeouts. */
const appendTimeouts = 2;

/** Sends a leader's log to its followers, one call at a time to each: entries, or a snapshot where the entries were compacted away. */
export class LogReplicator<C, R> {
  readonly #options: LogReplicatorOptions<C, R>;

  constructor(options: LogReplicatorOptions<C, R>) {
    this.#options = options;
  }

  /** Sends what the follower lacks, or a heartbeat. While a call is in progress, the next follows it. */
  replicateTo(follower: Follower): void {
    if (follower.isBusy) {
      follower.sendAgain = true;
      return;
    }
    follower.isBusy = true;
    follower.sendAgain = false;
    void this.#send(follower)
      .catch((error: unknown) => this.#recordFailure(follower, error))
      .then((hasMore) => {
        follower.isBusy = false;
        const { hasEnded, isCurrent } = this.#options;
        if (!hasEnded() && isCurrent(follower) && (hasMore || follower.sendAgain)) this.replicateTo(follower);
      });
  }

  #recordFailure(follower: Follower, error: unknown): false {
    const { counters, noticed } = this.#options.state.options;
    counters.add('consensus.feedFailed');
    // Only a refusal tells at once that the process at the address is another member now.
    if (error instanceof TransportError && error.reason === 'refused' && this.#options.isCurrent(follower)) {
      follower.isRefused = true;
      noticed?.();
    }
    follower.recordFailure();
    return false;
  }

  /** Sends one batch; true when there is more to send at once. */
  async #send(follower: Follower): Promise<boolean> {
    const { state, snapshots, onMatch, onRoundAnswered } = this.#options;
    const { options, log } = state;
    const round = this.#options.round();
    if (follower.nextIndex <= log.base.index || snapshots.isSendingTo(follower)) return this.#sendSnapshot(follower);
    const previousIndex = follower.nextIndex - 1;
    const entries = log.after(previousIndex, follower.maxBatchEntries);
    const { lastIndex } = log;
    const reply = await options.transport.ask(
      follower.groupMember.identity.address,
      consensusCalls.append,
      this.#request(follower, previousIndex, entries),
      options.bounds.failureTimeoutMs * appendTimeouts,
    );
    if (!this.#acceptReply(follower, reply.term)) return false;
    follower.recordSuccess();
    follower.confirmedRound = Math.max(follower.confirmedRound, round);
    follower.syncMs = reply.syncMs;
    if (!reply.ok) {
      // The index in the reply is either below what was sent, or committed there and so in this log too.
      follower.nextIndex = Math.min(reply.last, log.lastIndex) + 1;
      onRoundAnswered();
      return true;
    }
    follower.matchIndex = Math.max(follower.matchIndex, previousIndex + entries.length);
    follower.nextIndex = follower.matchIndex + 1;
    follower.keepsUp = follower.matchIndex >= lastIndex;
    onMatch();
    // A learner that has caught up can become a voter: the reconciler need not wait for its next run.
    if (!follower.groupMember.isVoter && follower.keepsUp) options.noticed?.();
    return follower.nextIndex <= log.lastIndex;
  }

  #request(follower: Follower, previousIndex: number, entries: readonly Entry[]): AppendRequest {
    const { state, term } = this.#options;
    const { options, log } = state;
    return {
      shard: options.shard,
      memberId: follower.groupMember.identity.memberId,
      from: options.self.name,
      term,
      leader: options.self,
      previous: { index: previousIndex, term: log.termAt(previousIndex) ?? 0 },
      entries: [...entries],
      commit: state.commitIndex,
    };
  }

  async #sendSnapshot(follower: Follower): Promise<boolean> {
    const { term, installedIndex, hasMore } = await this.#options.snapshots.sendChunk(follower);
    if (!this.#acceptReply(follower, term)) return false;
    if (installedIndex !== undefined) {
      follower.matchIndex = Math.max(follower.matchIndex, installedIndex);
      follower.nextIndex = follower.matchIndex + 1;
    }
    return hasMore;
  }

  /** Notes that a follower replied; false when it has voted in a later term, which ends this one. */
  #acceptReply(follower: Follower, replyTerm: number): boolean {
    const { state, term, hasEnded, onHigherTerm } = this.#options;
    if (hasEnded()) return false;
    if (replyTerm > term) {
      onHigherTerm(`term ${replyTerm} was voted for elsewhere`);
      return false;
    }
    const nowMs = state.clock.nowMs();
    if (nowMs - follower.heardMs > state.options.bounds.failureTimeoutMs) follower.steadySinceMs = nowMs;
    follower.heardMs = nowMs;
    follower.isRefused = false;
    return true;
  }
}
