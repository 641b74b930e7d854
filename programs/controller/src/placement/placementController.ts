import type { Member, LeaderFinder } from '@pewterlanding/consensus';
import { consensusCalls, replyAsLeader } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Transport } from '@pewterlanding/runtime';
import { entriesOf } from '@pewterlanding/model';
import { nextPlacement } from './nextPlacement.js';
import { placementCalls } from './placementCalls.js';
import type { ConfigurationCommand } from '../configuration/configurationCommand.js';
import type { ConfigurationShard } from '../configuration/configurationShard.js';
import type { ConfigurationReturn } from '../configuration/configurationReturn.js';

interface PlacementControllerOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly failureTimeoutMs: number;
  readonly finder: LeaderFinder;
  readonly machine: ConfigurationShard;
  readonly member: () => Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  /** Copies of every shard; left out, the setup says. */
  readonly copies: number | undefined;
}

/** How many silences a machine may be away before its seats go to others, by how that is known. */
const patience = { gone: 1, left: 2, unheard: 4 };
/** A shard waits so many silences for as many machines as it shall have copies. */
const foundingSilences = 3;

/** On the leader of the setup shard, where machines join by announcing themselves: keeps the seating in step with who is here. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #awaySince = new Map<NodeName, number>();
  #sinceMs: number | undefined;
  #term = -1;
  #configuration = false;
  #stepping = false;
  #again = false;
  #cancel = (): void => undefined;

  constructor(options: PlacementControllerOptions) {
    this.#options = options;
    options.membership.onNodeRecord(() => this.nudge());
    options.transport.serve(placementCalls.empty, ({ name }) => replyAsLeader(() => this.#empty(name)));
    options.transport.serve(placementCalls.emptied, ({ name }) => replyAsLeader(() => this.#emptied(name)));
  }

  close(): void {
    this.#cancel();
  }

  /** Looks now; also after anything that the seating depends on has changed. */
  nudge(): void {
    void this.#step().catch(() => this.#options.counters.add('controller.notSeated'));
  }

  get #copies(): number {
    return this.#options.copies ?? this.#options.machine.configuration?.copies ?? 3;
  }

  /** With a setup that lists its machines those are all there are; without any setup only a fleet that says its copies grows. */
  get #joining(): boolean {
    return this.#options.machine.configuration?.joining ?? this.#options.copies !== undefined;
  }

  async #step(): Promise<void> {
    this.#again = true;
    if (this.#stepping) return;
    this.#stepping = true;
    try {
      while (this.#again) {
        this.#again = false;
        await this.#one();
      }
    } finally {
      this.#stepping = false;
    }
  }

  async #one(): Promise<void> {
    const { machine, clock, membership, failureTimeoutMs, counters } = this.#options;
    const member = this.#options.member();
    if (member?.isLeader !== true || !this.#joining) return;
    const nowMs = clock.nowMs();
    if (this.#term !== member.term || this.#configuration !== (machine.configuration !== undefined)) {
      // What was away for an earlier leader, or for this one in an earlier term, is looked at anew.
      if (this.#term !== member.term) this.#awaySince.clear();
      this.#term = member.term;
      this.#configuration = machine.configuration !== undefined;
      this.#sinceMs = nowMs;
    }
    this.#watch(nowMs);
    const next = nextPlacement(machine.placement, {
      live: membership.live().flatMap(({ name, role, address, zone }) => (role === 'agent' ? [] : [{ name, role, address, zone }])),
      gone: (name) => this.#gone(name),
      shards: this.#shards(member),
      patient: nowMs - (this.#sinceMs ?? nowMs) >= failureTimeoutMs * foundingSilences,
    });
    if (next === undefined) return;
    counters.add('controller.seatings');
    await member.propose(`sit/${next.version}`, { kind: 'place', placement: next });
    this.#again = true;
  }

  #shards(member: Member<ConfigurationCommand, ConfigurationReturn>) {
    const { configuration, bootstrapped } = this.#options.machine;
    const copies = this.#copies;
    const controllers = { role: 'controller' as const, copies };
    const named = (shard: string): NodeName[] => (bootstrapped[shard] ?? []).map((member) => member.identity.name);
    const many = (kind: string, count: number): string[] => Array.from({ length: count }, (_, at) => `${kind}-${at}`);
    return [
      { shard: 'setup', ...controllers, sitting: member.group().map((member) => member.identity.name) },
      ...many('services', configuration?.serviceShards ?? 0).map((shard) => ({ shard, ...controllers, sitting: named(shard) })),
      ...many('lots', configuration?.batchShards ?? 0).map((shard) => ({ shard, role: 'store' as const, copies, sitting: named(shard) })),
    ];
  }

  /** Since when each machine is away; looks again when the first patience ends. */
  #watch(nowMs: number): void {
    const { machine, membership, clock } = this.#options;
    const names = entriesOf(machine.placement.machines).map(([name]) => name);
    for (const name of this.#awaySince.keys()) if (!names.includes(name)) this.#awaySince.delete(name);
    for (const name of names) {
      if (membership.nodeRecord(name) !== undefined) this.#awaySince.delete(name);
      else if (!this.#awaySince.has(name)) this.#awaySince.set(name, nowMs);
    }
    const waits = [...this.#awaySince.keys()].map((name) => this.#patienceMs(name) - this.#awayMs(name)).filter((waitMs) => waitMs > 0);
    this.#cancel();
    if (waits.length > 0) this.#cancel = clock.after(Math.min(...waits) + 1, () => this.nudge());
  }

  #awayMs(name: NodeName): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - (this.#awaySince.get(name) ?? nowMs);
  }

  #patienceMs(name: NodeName): number {
    const state = this.#options.membership.nodeRecords().find((nodeRecord) => nodeRecord.name === name)?.state;
    const silences = state === 'gone' || state === 'left' ? patience[state] : patience.unheard;
    return silences * this.#options.failureTimeoutMs;
  }

  #gone(name: NodeName): boolean {
    return this.#awaySince.has(name) && this.#awayMs(name) >= this.#patienceMs(name);
  }

  async #confirmed(): Promise<Member<ConfigurationCommand, ConfigurationReturn>> {
    const member = this.#options.member();
    if (member === undefined) throw new Error('not yet a member of the setup part');
    await member.confirmLeadership();
    return member;
  }

  async #empty(name: NodeName): Promise<'started' | 'unknown' | 'too few'> {
    const member = await this.#confirmed();
    const { placement } = this.#options.machine;
    if (!this.#joining) return 'unknown';
    const away = entriesOf(placement.machines).flatMap(([other]) => (this.#gone(other) ? [other] : []));
    const response = await member.propose(`empty/${name}/${placement.version}`, { kind: 'empty', name, away, minimum: this.#copies });
    this.nudge();
    return response.empty ?? 'unknown';
  }

  /** Only what the leaders have confirmed counts, of every shard: after this word the disk is thrown away. */
  async #emptied(name: NodeName): Promise<'running' | 'settled' | 'unknown'> {
    await this.#confirmed();
    const { machine, finder, failureTimeoutMs } = this.#options;
    if (!machine.placement.emptying.includes(name)) return 'unknown';
    if (Object.values(machine.placement.shards).some((names) => names.includes(name))) return 'running';
    const views = await Promise.all(
      Object.keys(machine.table().shards).map((shard) =>
        finder.ask(shard, consensusCalls.view, { shard }, failureTimeoutMs).catch(() => undefined),
      ),
    );
    // The copies that stay must all count as well, for the next loss may follow at once.
    const whole = views.every(
      (view) =>
        view !== undefined &&
        view.group.length >= this.#copies &&
        view.group.every((member) => member.isVoter && member.identity.name !== name),
    );
    return whole ? 'settled' : 'running';
  }
}
