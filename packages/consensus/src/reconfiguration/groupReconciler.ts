import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { GroupMember, Identity } from '../group/index.js';
import type { Member } from '../member/index.js';
import { consensusCalls } from '../protocol/index.js';

interface WantedNode {
  readonly name: NodeName;
  readonly address: Address;
}

interface GroupReconcilerOptions<C, R> {
  readonly member: Member<C, R>;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly failureTimeoutMs: number;
  /** The nodes that should hold the shard, the preferred leader first; undefined while that is not known. */
  readonly wanted: () => readonly WantedNode[] | undefined;
  /** Called after each committed change of the group. */
  readonly changed?: () => void;
}

/** A member that was heard within this part of a failure timeout, two heartbeats, is surely reachable. */
const reachableRatio = 0.4;

/**
 * On a shard's leader: brings the group to the wanted nodes, one change at a time. Each change adds or removes one voter, so that the
 * majorities before and after it overlap (Raft dissertation, section 4.1). docs/design.md, "Moves of copies", explains the order of the
 * changes.
 */
export class GroupReconciler<C, R> {
  readonly #options: GroupReconcilerOptions<C, R>;
  readonly #stop: () => void;
  /** Addresses whose processes have restarted since they were last asked for their identities. */
  readonly #restartedAddresses = new Set<Address>();
  #isStepping = false;
  #stepAgain = false;
  #isClosed = false;

  constructor(options: GroupReconcilerOptions<C, R>) {
    this.#options = options;
    this.#stop = every(options.clock, options.failureTimeoutMs, () => this.step());
  }

  /** Makes no further change. */
  close(): void {
    this.#isClosed = true;
    this.#stop();
  }

  /** Steps now instead of at the next failure timeout, since something that a step waits for has changed. */
  stepSoon(): void {
    if (this.#options.member.isLeader) void this.step().catch(() => this.#options.counters.add('consensus.stepFailed'));
  }

  /** The process at an address has restarted, perhaps with an empty disk; it is asked for its identity. */
  meet(address: Address): void {
    if (!this.#options.member.isLeader) return;
    this.#restartedAddresses.add(address);
    this.stepSoon();
  }

  /** Changes the group until no change is possible now. */
  async step(): Promise<void> {
    this.#stepAgain = true;
    if (this.#isStepping) return;
    this.#isStepping = true;
    try {
      while (this.#stepAgain && !this.#isClosed) {
        this.#stepAgain = false;
        if (await this.#changeOnce()) this.#stepAgain = true;
      }
    } finally {
      this.#isStepping = false;
    }
  }

  /** Makes the first change that is possible; false when there is none. */
  async #changeOnce(): Promise<boolean> {
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

  /** A node that answers with a new member id has lost its disk: a learner with the new id takes the place of the old member. */
  async #replaceRestarted(group: readonly GroupMember[]): Promise<readonly GroupMember[] | undefined> {
    for (const follower of this.#options.member.followers()) {
      const { identity } = follower.groupMember;
      // Only a node that refused a call or restarted is asked: waiting for one that is unreachable would delay all other changes.
      if (!this.#restartedAddresses.delete(identity.address) && !follower.isRefused) continue;
      const now = await this.#identify(identity.address);
      if (now === undefined || now.name !== identity.name || now.memberId === identity.memberId) continue;
      return group.map((groupMember) =>
        groupMember.identity.memberId === identity.memberId ? { identity: now, isVoter: false } : groupMember,
      );
    }
    this.#restartedAddresses.clear();
    return undefined;
  }

  /** Removes an unreachable voter on an unwanted node, once a learner is ready to become a voter next. */
  #removeUnreachable(group: readonly GroupMember[], wanted: readonly WantedNode[]): readonly GroupMember[] | undefined {
    const { member, clock, failureTimeoutMs } = this.#options;
    if (this.#readyLearner() === undefined) return undefined;
    const unreachable = member
      .followers()
      .find(
        ({ groupMember, heardMs }) =>
          groupMember.isVoter && clock.nowMs() - heardMs > failureTimeoutMs && !wanted.some((node) => isOn(groupMember, node)),
      );
    return unreachable === undefined
      ? undefined
      : group.filter((groupMember) => groupMember.identity.memberId !== unreachable.groupMember.identity.memberId);
  }

  async #addLearner(group: readonly GroupMember[], wanted: readonly WantedNode[]): Promise<readonly GroupMember[] | undefined> {
    // One learner at a time, so that only one snapshot is being sent.
    if (group.some((groupMember) => !groupMember.isVoter)) return undefined;
    for (const node of wanted) {
      if (group.some((groupMember) => isOn(groupMember, node))) continue;
      const identity = await this.#identify(node.address);
      if (identity !== undefined && identity.name === node.name) return [...group, { identity, isVoter: false }];
    }
    return undefined;
  }

  /**
   * Makes a learner that has caught up a voter, but not while a voter on an unwanted node may be unreachable: that one would have to be
   * removed first.
   */
  #promoteLearner(group: readonly GroupMember[], wanted: readonly WantedNode[]): readonly GroupMember[] | undefined {
    const learner = this.#readyLearner();
    if (learner === undefined || this.#mayLoseUnwantedVoter(wanted)) return undefined;
    return group.map((groupMember) =>
      groupMember.identity.memberId === learner.identity.memberId ? { ...groupMember, isVoter: true } : groupMember,
    );
  }

  /** Whether a voter on an unwanted node is neither surely reachable nor yet found unreachable. */
  #mayLoseUnwantedVoter(wanted: readonly WantedNode[]): boolean {
    const { member, clock, failureTimeoutMs } = this.#options;
    const heardSinceMs = clock.nowMs() - failureTimeoutMs * reachableRatio;
    return member
      .followers()
      .some(
        ({ groupMember, heardMs, hasReplied }) =>
          groupMember.isVoter && !wanted.some((node) => isOn(groupMember, node)) && (!hasReplied || heardMs < heardSinceMs),
      );
  }

  /** A learner that has caught up and is reachable. */
  #readyLearner(): GroupMember | undefined {
    const { member, clock, failureTimeoutMs } = this.#options;
    const nowMs = clock.nowMs();
    return member
      .followers()
      .find(({ groupMember, isCaughtUp, heardMs }) => !groupMember.isVoter && isCaughtUp && nowMs - heardMs < failureTimeoutMs)
      ?.groupMember;
  }

  /** Removes members on unwanted nodes one by one, once all wanted nodes have their votes; a leader transfers its leadership first. */
  #removeUnwanted(group: readonly GroupMember[], wanted: readonly WantedNode[]): readonly GroupMember[] | undefined {
    const { member } = this.#options;
    const isComplete = wanted.every((node) => group.some((groupMember) => groupMember.isVoter && isOn(groupMember, node)));
    const unwanted = group.filter((groupMember) => !wanted.some((node) => isOn(groupMember, node)));
    const otherUnwanted = unwanted.find((groupMember) => groupMember.identity.memberId !== member.self.memberId);
    // A learner is removed at once, since it has no vote.
    const unwantedLearner = unwanted.find((groupMember) => !groupMember.isVoter);
    const removed = unwantedLearner ?? (isComplete ? otherUnwanted : undefined);
    if (removed !== undefined) return group.filter((groupMember) => groupMember !== removed);
    if (isComplete && unwanted.length > 0) member.transferLeadership();
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

function isOn({ identity }: GroupMember, node: WantedNode): boolean {
  return identity.name === node.name && identity.address === node.address;
}

/** Puts the group into the wanted order, which decides who leads, once it consists of the wanted nodes. */
function reorder(group: readonly GroupMember[], wanted: readonly WantedNode[]): readonly GroupMember[] | undefined {
  if (group.length !== wanted.length || group.some((groupMember) => !groupMember.isVoter)) return undefined;
  const ordered = wanted.flatMap((node) => group.filter((groupMember) => isOn(groupMember, node)));
  return ordered.length === group.length && ordered.some((groupMember, index) => groupMember !== group[index]) ? ordered : undefined;
}
