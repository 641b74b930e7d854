import type * as v from 'valibot';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Entry } from '../log/entry.js';
import type { MemberState } from '../state/memberState.js';
import type { GroupMember } from '../group/groupMember.js';

const fetchEntries = 256;

type PreVote = v.InferOutput<typeof consensusCalls.preVote.response>;

interface Vote {
  readonly groupMember: GroupMember;
  readonly last: { readonly term: number; readonly index: number };
}

/** How a member comes to lead its shard: a majority finds the leader silent, a majority votes, the best log is adopted. */
export class Election<C, R> {
  readonly #state: MemberState<C, R>;
  readonly #won: (term: number) => void;
  #running = false;

  constructor(state: MemberState<C, R>, won: (term: number) => void) {
    this.#state = state;
    this.#won = won;
  }

  run(transfer: boolean): void {
    this.#start(() => this.#try(transfer));
  }

  /** Where all who answer are as new as this member, there is no leader to wait for. Asks within `waitMs`. */
  runAfterRestart(waitMs: number): void {
    this.#start(() => this.#attemptAfterRestart(waitMs));
  }

  #start(attempt: () => Promise<void>): void {
    if (this.#running) return;
    this.#running = true;
    void attempt()
      .catch(() => this.#state.options.counters.add('consensus.campaignFailed'))
      .finally(() => {
        this.#running = false;
      });
  }

  /** Asks a member to take over from this one. */
  offer(groupMember: GroupMember, term: number): void {
    const { options } = this.#state;
    options.transport
      .ask(groupMember.identity.address, consensusCalls.transfer, { ...this.#to(groupMember), term }, options.bounds.failureTimeoutMs)
      .catch(() => options.counters.add('consensus.offerFailed'));
  }

  async #try(transfer: boolean): Promise<void> {
    const views = await this.#preVote(transfer, this.#state.options.bounds.failureTimeoutMs, (response) => response.unreachable);
    // One member's deafness must not unseat a leader whom the others hear.
    if (views.filter(({ unreachable }) => unreachable).length + 1 < this.#state.majority()) return;
    await this.#requestVotes(views);
  }

  async #attemptAfterRestart(waitMs: number): Promise<void> {
    // Nobody's word is enough before all have had their time to say that they know better.
    const views = await this.#preVote(false, waitMs, () => false);
    const free = views.filter(({ unreachable, recentlyStarted }) => unreachable || recentlyStarted);
    // Who knows a live leader will make it known here too.
    if (free.length < views.length) this.#state.recentlyStarted = false;
    if (!this.#state.recentlyStarted || free.length + 1 < this.#state.majority()) return;
    this.#state.options.counters.add('consensus.freshStart');
    await this.#requestVotes(views);
  }

  async #preVote(transfer: boolean, waitMs: number, agrees: (response: PreVote) => boolean): Promise<readonly PreVote[]> {
    const { options, currentTerm: term } = this.#state;
    const ask = (groupMember: GroupMember): Promise<PreVote> =>
      options.transport.ask(groupMember.identity.address, consensusCalls.preVote, { ...this.#to(groupMember), term, transfer }, waitMs);
    return (await this.#askAll(this.#others(), ask, agrees)).map(({ response }) => response);
  }

  #others(): readonly GroupMember[] {
    return this.#state.voters().filter((groupMember) => groupMember.identity.memberId !== this.#state.self.memberId);
  }

  /** A majority votes, the best log is adopted. */
  async #requestVotes(views: readonly PreVote[]): Promise<void> {
    const { options } = this.#state;
    const waitMs = options.bounds.failureTimeoutMs;
    const term = Math.max(this.#state.currentTerm, ...views.map((view) => view.term)) + 1;
    const kept = await this.#state.queue.run(async () => {
      if (term <= this.#state.currentTerm) return false;
      await this.#state.vote(term);
      return true;
    });
    if (!kept) return;
    const answers = await this.#askAll(
      this.#others(),
      (groupMember) => options.transport.ask(groupMember.identity.address, consensusCalls.vote, { ...this.#to(groupMember), term }, waitMs),
      (response) => response.granted,
    );
    const currentTerm: Vote[] = answers
      .filter((answer) => answer.response.granted)
      .map((answer) => ({ groupMember: answer.groupMember, last: answer.response.last }));
    if (currentTerm.length + 1 < this.#state.majority()) return;
    if (!(await this.#adoptBestLog(term, currentTerm))) return;
    // The adopted log may have brought a newer group: the votes must be a majority of that one too.
    const voters = new Set([options.self.memberId, ...currentTerm.map((one) => one.groupMember.identity.memberId)]);
    const votes = this.#state.voters().filter((groupMember) => voters.has(groupMember.identity.memberId)).length;
    if (this.#state.position() >= 0 && votes >= this.#state.majority()) this.#won(term);
  }

  /** Makes the best log among the voters this one's own, synced. */
  async #adoptBestLog(term: number, currentTerm: readonly Vote[]): Promise<boolean> {
    const { log } = this.#state;
    const own = log.last;
    const best = currentTerm.reduce<Vote | undefined>((found, next) => {
      const than = found?.last ?? own;
      return next.last.term > than.term || (next.last.term === than.term && next.last.index > than.index) ? next : found;
    }, undefined);
    // Its own log was synced with its vote. After a restart nothing counts as committed yet, so writing it again would be the whole log.
    if (best === undefined) return this.#state.currentTerm === term;
    const entries = await this.#fetch(best, term);
    if (entries === undefined) {
      // Too far behind to take over: the one who holds the log shall.
      this.offer(best.groupMember, term);
      return false;
    }
    return this.#state.queue.run(async () => {
      if (this.#state.currentTerm !== term) return false;
      const { committed } = this.#state;
      log.write(committed, entries, committed);
      if (entries.length > 0) await this.#state.persist(committed, entries);
      return this.#state.currentTerm === term;
    });
  }

  async #fetch(best: Vote, term: number): Promise<Entry[] | undefined> {
    const { options, committed } = this.#state;
    const entries: Entry[] = [];
    while (committed + entries.length < best.last.index) {
      const response = await options.transport.ask(
        best.groupMember.identity.address,
        consensusCalls.fetch,
        { ...this.#to(best.groupMember), term, after: committed + entries.length, limit: fetchEntries },
        options.bounds.failureTimeoutMs * 2,
      );
      if (!response.ok || response.entries.length === 0) return undefined;
      entries.push(...response.entries);
    }
    return entries;
  }

  #to(groupMember: GroupMember): { readonly shard: string; readonly memberId: string; readonly from: MemberState<C, R>['self']['name'] } {
    return { shard: this.#state.options.shard, memberId: groupMember.identity.memberId, from: this.#state.self.name };
  }

  /** Asks all, and waits until a majority, this member included, has agreed: the silent leader must not hold its own succession up. */
  #askAll<B>(
    group: readonly GroupMember[],
    ask: (groupMember: GroupMember) => Promise<B>,
    agrees: (response: B) => boolean,
  ): Promise<readonly { readonly groupMember: GroupMember; readonly response: B }[]> {
    return new Promise((resolve) => {
      const answers: { readonly groupMember: GroupMember; readonly response: B }[] = [];
      let waiting = group.length;
      const look = (): void => {
        const enough = answers.filter(({ response }) => agrees(response)).length + 1 >= this.#state.majority();
        if (waiting === 0 || enough) resolve([...answers]);
      };
      for (const groupMember of group)
        ask(groupMember)
          .then(
            (response) => answers.push({ groupMember, response }),
            () => undefined,
          )
          .finally(() => {
            waiting -= 1;
            look();
          })
          .catch(() => undefined);
      look();
    });
  }
}
