import { NotLeaderError } from '../protocol/index.js';
import { Leadership } from '../replication/index.js';
import type { MemberState } from '../state/index.js';

/** Whether a member leads its shard, and under which term. Announces the leadership once it can serve, and when it ends. */
export class MemberRole<C, R> {
  /** The member is about to end: it takes on no leadership. */
  isLeaving = false;
  isClosed = false;
  readonly #state: MemberState<C, R>;
  #leadership: Leadership<C, R> | undefined;
  #isAnnounced = false;

  constructor(state: MemberState<C, R>) {
    this.#state = state;
  }

  /** The leadership under the present term, whether it can serve yet or not. */
  get leadership(): Leadership<C, R> | undefined {
    return this.#leadership;
  }

  /** The leadership that can serve. Throws NotLeaderError where there is none. */
  serving(): Leadership<C, R> {
    if (this.#leadership?.isOpen !== true)
      throw new NotLeaderError(this.#leadership === undefined ? this.#state.leaderAddress() : undefined);
    return this.#leadership;
  }

  /** Starts to lead a term that this member was elected for. */
  lead(term: number): void {
    const { options } = this.#state;
    this.#state.leader = this.#state.self;
    this.#state.recentlyStarted = false;
    this.#leadership = new Leadership(this.#state, term, {
      opened: () => this.announce(),
      ended: (reason) => this.stepDown(reason),
    });
    options.log.info(`${options.shard}: opens term ${term}`);
    options.counters.add('consensus.terms');
  }

  /** Ends the leadership, if there is one. */
  stepDown(reason: string): void {
    const leadership = this.#leadership;
    if (leadership === undefined) return;
    const { options, clock } = this.#state;
    this.#leadership = undefined;
    this.#state.leader = undefined;
    this.#state.heardMs = clock.nowMs();
    leadership.end(reason);
    options.log.info(`${options.shard}: term ${leadership.term} ends here: ${reason}`);
    if (this.#isAnnounced) options.leadershipChanged?.(undefined);
    this.#isAnnounced = false;
  }

  /** Announces the leadership once, as soon as it can serve. */
  announce(): void {
    const leadership = this.#leadership;
    if (leadership?.isOpen !== true || this.#isAnnounced) return;
    this.#isAnnounced = true;
    this.#state.options.leadershipChanged?.(leadership.term);
  }
}
