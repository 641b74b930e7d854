import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import type { Identity } from '../group/identity.js';
import type { Member } from '../shard/member.js';
import type { GroupMember } from '../group/groupMember.js';

interface Wanted {
  readonly name: NodeName;
  readonly address: Address;
}

interface GroupKeeperOptions<C, R> {
  readonly member: Member<C, R>;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly failureTimeoutMs: number;
  /** Where the shard shall sit, in order; undefined while that is not known. */
  readonly wanted: () => readonly Wanted[] | undefined;
  /** Told after each change of the group. */
  readonly changed?: () => void;
}

/** Who was heard within this part of a failure timeout, two heartbeats, is there. */
const surelyThereRatio = 0.4;

/**
 * On the leader of a shard: brings its group to the members that are wanted, one step at a time. A step adds one vote or takes
 * one away, so that any two majorities that follow each other share a member. Why the order of the steps is what it is
 * stands in docs/design.md under "Moves of copies".
 */
export class GroupReconciler<C, R> {
  readonly #options: GroupKeeperOptions<C, R>;
  readonly #stop: () => void;
  /** Addresses where a machine began anew. */
  readonly #restarted = new Set<Address>();
  #stepping = false;
  #again = false;
  #closed = false;

  constructor(options: GroupKeeperOptions<C, R>) {
    this.#options = options;
    this.#stop = every(options.clock, options.failureTimeoutMs, () => this.step());
  }

  close(): void {
    this.#closed = true;
    this.#stop();
  }

  /** Looks at once instead of at the next failure timeout: something that a step waits for has changed. */
  stepSoon(): void {
    if (this.#options.member.isLeader) void this.step().catch(() => this.#options.counters.add('consensus.stepFailed'));
  }

  /** A machine began anew at an address: perhaps without its disk. */
  meet(address: Address): void {
    if (!this.#options.member.isLeader) return;
    this.#restarted.add(address);
    this.stepSoon();
  }

  /** Takes steps until nothing is left that can be done now. */
  async step(): Promise<void> {
    this.#again = true;
    if (this.#stepping) return;
    this.#stepping = true;
    try {
      while (this.#again && !this.#closed) {
        this.#again = false;
        if (await this.#takeStep()) this.#again = true;
      }
    } finally {
      this.#stepping = false;
    }
  }

  async #takeStep(): Promise<boolean> {
    const { member, log } = this.#options;
    const wanted = this.#options.wanted();
    if (!member.isLeader || wanted === undefined || wanted.length === 0) return false;
    const group = member.group();
    const next =
      (await this.#replaceRestarted(group)) ??
      this.#removeUnreachable(group, wanted) ??
      this.#promoteLearner(group, wanted) ??
      this.#removeUnwanted(group, wanted) ??
      (await this.#addLearner(group, wanted)) ??
      reorder(group, wanted);
    if (next === undefined || !member.isLeader) return false;
    const names = next.map((groupMember) => `${groupMember.identity.name}${groupMember.isVoter ? '' : ' (learner)'}`);
    log.info(`${member.shard}: group becomes ${names.join(', ')}`);
    await member.changeGroup(next);
    this.#options.counters.add('consensus.groupChanges');
    this.#options.changed?.();
    return true;
  }

  /** A machine that answers under its old name with a new member id has lost its disk: the old member goes, the new one follows. */
  async #replaceRestarted(group: readonly GroupMember[]): Promise<readonly GroupMember[] | undefined> {
    for (const follower of this.#options.member.followers()) {
      const { identity } = follower.groupMember;
      // Only where it was refused or began anew is it asked: one that is merely silent would hold all other steps up.
      if (!this.#restarted.delete(identity.address) && !follower.refused) continue;
      const now = await this.#identify(identity.address);
      if (now === undefined || now.name !== identity.name || now.memberId === identity.memberId) continue;
      return group.map((groupMember) =>
        groupMember.identity.memberId === identity.memberId ? { identity: now, isVoter: false } : groupMember,
      );
    }
    this.#restarted.clear();
    return undefined;
  }

  /** A newcomer is ready while a member that nobody wants is silent: the silent one goes first, then the newcomer counts. */
  #removeUnreachable(group: readonly GroupMember[], wanted: readonly Wanted[]): readonly GroupMember[] | undefined {
    const { member, clock, failureTimeoutMs } = this.#options;
    if (this.#ready() === undefined) return undefined;
    const unreachable = member
      .followers()
      .find(
        ({ groupMember, heardMs }) =>
          groupMember.isVoter && clock.nowMs() - heardMs > failureTimeoutMs && !wanted.some((place) => isAt(groupMember, place)),
      );
    return unreachable === undefined
      ? undefined
      : group.filter((groupMember) => groupMember.identity.memberId !== unreachable.groupMember.identity.memberId);
  }

  async #addLearner(group: readonly GroupMember[], wanted: readonly Wanted[]): Promise<readonly GroupMember[] | undefined> {
    // One newcomer at a time, so that only one snapshot is under way.
    if (group.some((groupMember) => !groupMember.isVoter)) return undefined;
    for (const place of wanted) {
      if (group.some((groupMember) => isAt(groupMember, place))) continue;
      const identity = await this.#identify(place.address);
      if (identity !== undefined && identity.name === place.name) return [...group, { identity, isVoter: false }];
    }
    return undefined;
  }

  /** A follower that caught up gets its vote, but not while a voter that nobody wants may be gone: that one would have to go first. */
  #promoteLearner(group: readonly GroupMember[], wanted: readonly Wanted[]): readonly GroupMember[] | undefined {
    const ready = this.#ready();
    if (ready === undefined || this.#someoneMayBeGone(wanted)) return undefined;
    return group.map((groupMember) =>
      groupMember.identity.memberId === ready.identity.memberId ? { ...groupMember, isVoter: true } : groupMember,
    );
  }

  /** A voter that nobody wants is neither surely there nor yet known to be silent. */
  #someoneMayBeGone(wanted: readonly Wanted[]): boolean {
    const { member, clock, failureTimeoutMs } = this.#options;
    const heardSinceMs = clock.nowMs() - failureTimeoutMs * surelyThereRatio;
    return member
      .followers()
      .some(
        ({ groupMember, heardMs, answered }) =>
          groupMember.isVoter && !wanted.some((place) => isAt(groupMember, place)) && (!answered || heardMs < heardSinceMs),
      );
  }

  #ready(): GroupMember | undefined {
    const { member, clock, failureTimeoutMs } = this.#options;
    const nowMs = clock.nowMs();
    return member
      .followers()
      .find(({ groupMember, caughtUp, heardMs }) => !groupMember.isVoter && caughtUp && nowMs - heardMs < failureTimeoutMs)?.groupMember;
  }

  /** Seats nobody wants go one by one, only once all wanted ones count; a leader that is to go hands over first. */
  #removeUnwanted(group: readonly GroupMember[], wanted: readonly Wanted[]): readonly GroupMember[] | undefined {
    const { member } = this.#options;
    const complete = wanted.every((place) => group.some((groupMember) => groupMember.isVoter && isAt(groupMember, place)));
    const leaving = group.filter((groupMember) => !wanted.some((place) => isAt(groupMember, place)));
    const other = leaving.find((groupMember) => groupMember.identity.memberId !== member.self.memberId);
    // A newcomer that is wanted no more goes at once: it has no vote to miss.
    const stray = leaving.find((groupMember) => !groupMember.isVoter);
    const gone = stray ?? (complete ? other : undefined);
    if (gone !== undefined) return group.filter((groupMember) => groupMember !== gone);
    if (complete && leaving.length > 0) member.transferLeadership();
    return undefined;
  }

  async #identify(address: Address): Promise<Identity | undefined> {
    const { transport, member, failureTimeoutMs, counters } = this.#options;
    try {
      return await transport.ask(address, consensusCalls.identify, { shard: member.shard }, failureTimeoutMs);
    } catch {
      counters.add('consensus.whoUnanswered');
      return undefined;
    }
  }
}

function isAt(groupMember: GroupMember, place: Wanted): boolean {
  return groupMember.identity.name === place.name && groupMember.identity.address === place.address;
}

/** The agreed order is the wanted one. */
function reorder(group: readonly GroupMember[], wanted: readonly Wanted[]): readonly GroupMember[] | undefined {
  if (group.length !== wanted.length || group.some((groupMember) => !groupMember.isVoter)) return undefined;
  const ordered = wanted.flatMap((place) => group.filter((groupMember) => isAt(groupMember, place)));
  return ordered.length === group.length && ordered.some((groupMember, index) => groupMember !== group[index]) ? ordered : undefined;
}
