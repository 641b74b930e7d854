import { consensusCalls } from '@pewterlanding/consensus';
import type { LeaderFinder } from '@pewterlanding/consensus';
import { entriesOf } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import { NotAMemberError } from './notAMemberError.js';
import type { PlacementMember } from './placementMember.js';
import type { PlacementState } from './placementState.js';

interface StoreDrainOptions {
  readonly finder: LeaderFinder;
  readonly machine: PlacementState;
  readonly member: () => PlacementMember | undefined;
  readonly failureTimeoutMs: number;
  readonly copies: () => number;
  /** Whether machines join by announcing themselves; only then is placement computed, and a store can be drained. */
  readonly isJoining: () => boolean;
  readonly isLost: (name: NodeName) => boolean;
  /** Called when a store was marked, so that its copies are placed elsewhere. */
  readonly marked: () => void;
}

/** Drains stores, on the leader of the configuration shard. */
export class StoreDrain {
  readonly #options: StoreDrainOptions;

  constructor(options: StoreDrainOptions) {
    this.#options = options;
  }

  /** Has a store marked for draining, if enough of the others that are not lost remain. Rejects on any node but the leader. */
  async start(name: NodeName): Promise<'started' | 'unknown' | 'too few'> {
    const { machine, isJoining, isLost, copies, marked } = this.#options;
    const member = await this.#confirmedMember();
    const { placement } = machine;
    if (!isJoining()) return 'unknown';
    const away = entriesOf(placement.machines)
      .map(([other]) => other)
      .filter(isLost);
    const response = await member.propose(`empty/${name}/${placement.version}`, { kind: 'empty', name, away, minimum: copies() });
    marked();
    return response.empty ?? 'unknown';
  }

  /**
   * Whether a store's disk may be destroyed: nothing is placed on it, and every shard's leader, asked now, has a full group of voters
   * without it, since another copy may be lost right after. Rejects on any node but the leader.
   */
  async progress(name: NodeName): Promise<'running' | 'settled' | 'unknown'> {
    await this.#confirmedMember();
    const { machine } = this.#options;
    if (!machine.placement.emptying.includes(name)) return 'unknown';
    if (Object.values(machine.placement.shards).some((names) => names.includes(name))) return 'running';
    const whole = await this.#allGroupsWholeWithout(name);
    return whole ? 'settled' : 'running';
  }

  async #allGroupsWholeWithout(name: NodeName): Promise<boolean> {
    const { machine, finder, failureTimeoutMs, copies } = this.#options;
    const shards = Object.keys(machine.table().shards);
    const views = await Promise.all(
      shards.map((shard) => finder.ask(shard, consensusCalls.view, { shard }, failureTimeoutMs).catch(() => undefined)),
    );
    return views.every((view) => {
      if (view === undefined || view.group.length < copies()) return false;
      return view.group.every((member) => member.isVoter && member.identity.name !== name);
    });
  }

  async #confirmedMember(): Promise<PlacementMember> {
    const member = this.#options.member();
    if (member === undefined) throw new NotAMemberError();
    await member.confirmLeadership();
    return member;
  }
}
