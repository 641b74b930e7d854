import type { GroupMember } from '../group/index.js';
import type { Entry } from '../log/index.js';
import { consensusCalls } from '../protocol/index.js';
import type { MemberState } from '../state/index.js';
import type { Vote } from './vote.js';

/** Entries fetched in one call at most. */
const fetchEntries = 256;
/** How many failure timeouts a fetch may take. */
const fetchTimeouts = 2;

/**
 * Brings a candidate's log up to the best log among its voters before it leads. In contrast to Raft, a vote does not depend on whose log
 * is newer; this step gives the same guarantee, that a leader's log holds every committed entry (Raft, section 5.4.1).
 */
export class LogAdoption<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #requestTransfer: (groupMember: GroupMember, term: number) => void;

  constructor(state: MemberState<C, R>, requestTransfer: (groupMember: GroupMember, term: number) => void) {
    this.#state = state;
    this.#requestTransfer = requestTransfer;
  }

  /** Makes the best log among the voters this member's own, synced. False when the term is over or the entries cannot be fetched. */
  async adoptBest(term: number, votes: readonly Vote[]): Promise<boolean> {
    const { log } = this.#state;
    const ownLast = log.last;
    const best = votes.reduce<Vote | undefined>((found, next) => {
      const last = found?.last ?? ownLast;
      return next.last.term > last.term || (next.last.term === last.term && next.last.index > last.index) ? next : found;
    }, undefined);
    // The own log was synced with the own vote. After a restart the commit index is that of the snapshot, so writing the own entries
    // again would write the whole log.
    if (best === undefined) return this.#state.currentTerm === term;
    const entries = await this.#fetch(best, term);
    if (entries === undefined) {
      // The voter's log does not reach back to this member's commit index, so the voter itself should lead.
      this.#requestTransfer(best.groupMember, term);
      return false;
    }
    return this.#state.queue.run(async () => {
      if (this.#state.currentTerm !== term) return false;
      const { commitIndex } = this.#state;
      log.write(commitIndex, entries, commitIndex);
      if (entries.length > 0) await this.#state.persist(commitIndex, entries);
      return this.#state.currentTerm === term;
    });
  }

  /** The entries of a voter's log after this member's commit index; undefined where the voter does not have them all. */
  async #fetch({ groupMember, last }: Vote, term: number): Promise<Entry[] | undefined> {
    const { options, commitIndex, self } = this.#state;
    const entries: Entry[] = [];
    while (commitIndex + entries.length < last.index) {
      const response = await options.transport.ask(
        groupMember.identity.address,
        consensusCalls.fetch,
        {
          shard: options.shard,
          memberId: groupMember.identity.memberId,
          from: self.name,
          term,
          after: commitIndex + entries.length,
          limit: fetchEntries,
        },
        options.bounds.failureTimeoutMs * fetchTimeouts,
      );
      if (!response.ok || response.entries.length === 0) return undefined;
      entries.push(...response.entries);
    }
    return entries;
  }
}
