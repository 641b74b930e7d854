import type { LeaderFinder } from '@pewterlanding/consensus';
import { replyAsLeader } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import { entriesOf } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { Absences } from './absences.js';
import { configurationShardName } from './configurationShardName.js';
import { nextPlacement } from './nextPlacement.js';
import type { PlacedShard } from './placedShard.js';
import { placementCalls } from './placementCalls.js';
import type { PlacementMember } from './placementMember.js';
import type { PlacementState } from './placementState.js';
import type { PlacementView } from './placementView.js';
import { shardNames } from './shardNames.js';
import { StoreDrain } from './storeDrain.js';

interface PlacementControllerOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly failureTimeoutMs: number;
  readonly finder: LeaderFinder;
  /** The configuration shard's state on this node. */
  readonly machine: PlacementState;
  readonly member: () => PlacementMember | undefined;
  /** Copies of every shard; left out, the configuration says. */
  readonly copies: number | undefined;
}

const defaultCopies = 3;
/** So many failure timeouts a new shard waits for as many machines as it has copies. */
const placementTimeouts = 3;

/**
 * On the leader of the configuration shard, in fleets whose machines join by announcing themselves: a reconciler that keeps the
 * committed placement in step with the live machines. Level-triggered: each step computes the placement from the present state.
 */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #absences: Absences;
  readonly #drain: StoreDrain;
  /** When the wait for missing machines began. */
  #waitsSinceMs = 0;
  #term = -1;
  #hadConfiguration = false;
  #isReconciling = false;
  #isRequested = false;
  #cancelTimer = (): void => undefined;

  /** Wires the controller, serves its calls, and has it react to membership. It runs no timer until a machine is absent. */
  constructor(options: PlacementControllerOptions) {
    const { membership, transport } = options;
    this.#options = options;
    this.#absences = new Absences(options);
    this.#drain = new StoreDrain({
      ...options,
      copies: () => this.#copies,
      isJoining: () => this.#isJoining,
      isLost: (name) => this.#absences.isLost(name),
      marked: () => this.nudge(),
    });
    membership.onNodeRecord(() => this.nudge());
    transport.serve(placementCalls.empty, ({ name }) => replyAsLeader(() => this.#drain.start(name)));
    transport.serve(placementCalls.emptied, ({ name }) => replyAsLeader(() => this.#drain.progress(name)));
  }

  /** Cancels the timer; a reconciliation that is under way still ends. */
  close(): void {
    this.#cancelTimer();
  }

  /** Requests a reconciliation; to be called after any change that the placement depends on. */
  nudge(): void {
    void this.#reconcile().catch(() => this.#options.counters.add('controller.notSeated'));
  }

  get #copies(): number {
    return this.#options.copies ?? this.#options.machine.configuration?.copies ?? defaultCopies;
  }

  /** A configuration that lists its machines is complete; before the first configuration only a fleet with stated copies grows. */
  get #isJoining(): boolean {
    return this.#options.machine.configuration?.joining ?? this.#options.copies !== undefined;
  }

  /** One reconciliation at a time; requests that come meanwhile are merged into one more. */
  async #reconcile(): Promise<void> {
    this.#isRequested = true;
    if (this.#isReconciling) return;
    this.#isReconciling = true;
    try {
      while (this.#isRequested) {
        this.#isRequested = false;
        await this.#reconcileOnce();
      }
    } finally {
      this.#isReconciling = false;
    }
  }

  async #reconcileOnce(): Promise<void> {
    const { machine, clock, counters } = this.#options;
    const member = this.#options.member();
    if (member?.isLeader !== true || !this.#isJoining) return;
    const nowMs = clock.nowMs();
    this.#noteTerm(member.term, nowMs);
    this.#observeAbsences(nowMs);
    const next = nextPlacement(machine.placement, this.#view(member, nowMs));
    if (next === undefined) return;
    counters.add('controller.seatings');
    // The id is stored in the log: it keeps the word of format 1.
    await member.propose(`sit/${next.version}`, { kind: 'place', placement: next });
    this.#isRequested = true;
  }

  /** A new term or the first configuration restarts the wait for missing machines; a new term also what is known of absences. */
  #noteTerm(term: number, nowMs: number): void {
    const hasConfiguration = this.#options.machine.configuration !== undefined;
    if (this.#term === term && this.#hadConfiguration === hasConfiguration) return;
    if (this.#term !== term) this.#absences.clear();
    this.#term = term;
    this.#hadConfiguration = hasConfiguration;
    this.#waitsSinceMs = nowMs;
  }

  /** Reconciles again when the next absent machine counts as lost. */
  #observeAbsences(nowMs: number): void {
    const { machine, clock } = this.#options;
    const names = entriesOf(machine.placement.machines).map(([name]) => name);
    this.#absences.observe(names, nowMs);
    const nextLossMs = this.#absences.nextLossMs();
    this.#cancelTimer();
    if (nextLossMs !== undefined) this.#cancelTimer = clock.after(nextLossMs + 1, () => this.nudge());
  }

  #view(member: PlacementMember, nowMs: number): PlacementView {
    const { membership, failureTimeoutMs } = this.#options;
    const live: PlacementView['live'][number][] = [];
    for (const { name, role, address, zone } of membership.live()) if (role !== 'agent') live.push({ name, role, address, zone });
    return {
      live,
      isLost: (name) => this.#absences.isLost(name),
      shards: this.#shards(member),
      allowsFewerCopies: nowMs - this.#waitsSinceMs >= failureTimeoutMs * placementTimeouts,
    };
  }

  #shards(member: PlacementMember): readonly PlacedShard[] {
    const { configuration, bootstrapped } = this.#options.machine;
    const copies = this.#copies;
    const firstMembers = (shard: string): NodeName[] => (bootstrapped[shard] ?? []).map(({ identity }) => identity.name);
    const members = member.group().map(({ identity }) => identity.name);
    const shards: PlacedShard[] = [{ shard: configurationShardName, role: 'controller', copies, currentMembers: members }];
    for (const shard of shardNames('services', configuration?.serviceShards ?? 0))
      shards.push({ shard, role: 'controller', copies, currentMembers: firstMembers(shard) });
    for (const shard of shardNames('lots', configuration?.batchShards ?? 0))
      shards.push({ shard, role: 'store', copies, currentMembers: firstMembers(shard) });
    return shards;
  }
}
