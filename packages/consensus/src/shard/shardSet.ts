import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import { consensusCalls } from '../protocol/consensusCalls.js';
import { GroupReconciler } from '../reconfiguration/groupReconciler.js';
import type { HostedShard } from './hostedShard.js';
import type { StateMachine } from '../state/stateMachine.js';
import type { Member } from './member.js';
import { NotLeaderError } from '../protocol/notLeaderError.js';
import { LeaderFinder } from '../protocol/leaderFinder.js';
import type { ShardHost } from './shardHost.js';
import { ShardMap } from './shardMap.js';
import type { GroupMember } from '../group/groupMember.js';

interface ShardSetOptions<C, R, M> {
  /** Which shards of the table are of this kind, by the beginning of their names. */
  readonly prefix: string;
  readonly name: NodeName;
  readonly host: ShardHost;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  readonly fatal: (error: unknown) => void;
  readonly stateMachine: () => M;
  /** The members of a shard as its leader last told them to all. */
  readonly told: (shard: string) => unknown;
  /** Tells the members of a shard that is led here. */
  readonly tell: (member: Member<C, R>) => void;
  /** Told after commands were applied to a shard that is led here. */
  readonly applied?: (kept: HostedShard<C, R, M>) => void;
}

/** The shards of one kind that the shard table gives this machine: opened when it shall sit in them, given up when nothing holds them. */
export class ShardSet<C, R, M extends StateMachine<C, R>> {
  readonly #options: ShardSetOptions<C, R, M>;
  readonly #kept = new Map<string, Promise<HostedShard<C, R, M>>>();
  readonly #finder: LeaderFinder;
  readonly #stop: () => void;
  /** What the disk holds is opened first, so that no file is opened twice. */
  readonly #recalled: Promise<void>;
  #closed = false;
  #table = ShardMap.empty();

  constructor(options: ShardSetOptions<C, R, M>) {
    this.#options = options;
    const { transport, clock, failureTimeoutMs, told } = options;
    this.#finder = new LeaderFinder({
      transport,
      clock,
      tryMs: failureTimeoutMs,
      members: (shard) => ShardMap.members(this.#table, shard, told(shard)),
    });
    this.#stop = every(clock, failureTimeoutMs, () => this.#announceAndDrop());
    this.#recalled = this.#openKnown();
    this.#recalled.catch(options.fatal);
  }

  take(table: ShardMap | undefined): void {
    if (table === undefined || table.version <= this.#table.version) return;
    this.#table = table;
    void this.#recalled.then(() => this.#openWanted()).catch(() => undefined);
  }

  #openWanted(): void {
    if (this.#closed) return;
    for (const [shard, row] of Object.entries(this.#table.shards)) {
      if (!shard.startsWith(this.#options.prefix) || this.#kept.has(shard)) continue;
      const told = ShardMap.readGroup(this.#options.told(shard));
      const sitting = told.length > 0 ? told : row.bootstrap;
      const mine = [...sitting.map((groupMember) => groupMember.identity), ...row.wanted].some(
        (place) => place.name === this.#options.name,
      );
      if (mine) this.#kept.set(shard, this.#open(shard, row.bootstrap));
    }
    this.#keepers((reconciler) => reconciler.stepSoon());
  }

  /** A machine began anew at an address. */
  meet(address: Address): void {
    this.#keepers((reconciler) => reconciler.meet(address));
  }

  /** Runs on a shard that is led here; others are told to look elsewhere. */
  async asLeader<T>(shard: string, run: (kept: HostedShard<C, R, M>) => Promise<T>): Promise<T> {
    const kept = this.#kept.get(shard);
    if (kept === undefined) throw new NotLeaderError(undefined);
    return run(await kept);
  }

  /** Reads only what a majority has confirmed to be the newest. */
  read<T>(shard: string, run: (stateMachine: M) => T): Promise<T> {
    return this.asLeader(shard, async ({ member, stateMachine }) => {
      await member.confirmLeadership();
      return run(stateMachine);
    });
  }

  async all(): Promise<readonly HostedShard<C, R, M>[]> {
    return Promise.all(this.#kept.values());
  }

  /** Before this process ends: hands all that is led here over. */
  async leave(patienceMs: number): Promise<void> {
    await Promise.all([...this.#kept.values()].map(async (kept) => (await kept).member.leave(patienceMs)));
  }

  close(): void {
    this.#closed = true;
    this.#stop();
    for (const kept of this.#kept.values()) void kept.then(({ reconciler }) => reconciler.close()).catch(() => undefined);
  }

  /** A machine knows its shards by its own disk: after all were off, their leaders need not wait for the table. */
  async #openKnown(): Promise<void> {
    const { host, prefix } = this.#options;
    for (const shard of await host.shards()) {
      if (!shard.startsWith(prefix) || (await host.known(shard)).length === 0 || this.#closed) continue;
      this.#kept.set(shard, this.#open(shard, []));
    }
  }

  async #open(shard: string, bootstrap: readonly GroupMember[]): Promise<HostedShard<C, R, M>> {
    const { host, transport, clock, counters, log, failureTimeoutMs } = this.#options;
    const stateMachine = this.#options.stateMachine();
    const identity = await host.identity(shard);
    // An empty disk under a founder's name is not that founder: it starts without a member and waits to be added.
    const own = bootstrap.some((groupMember) => groupMember.identity.memberId === identity.memberId) ? bootstrap : [];
    const member = await host.host<C, R>(shard, own, stateMachine, {
      applied: () => {
        void this.#kept.get(shard)?.then((kept) => {
          if (kept.member.isLeader) this.#options.applied?.(kept);
        });
      },
      leadershipChanged: () => this.#stepSoon(shard),
      noticed: () => this.#stepSoon(shard),
    });
    const wanted = (): ShardMap['shards'][string]['wanted'] | undefined => this.#table.shards[shard]?.wanted;
    const changed = (): void => this.#options.tell(member);
    const reconciler = new GroupReconciler({ member, transport, clock, counters, log, failureTimeoutMs, wanted, changed });
    return { stateMachine, member, reconciler };
  }

  #stepSoon(shard: string): void {
    void this.#kept.get(shard)?.then(({ reconciler }) => reconciler.stepSoon());
  }

  #keepers(run: (reconciler: GroupReconciler<C, R>) => void): void {
    for (const kept of this.#kept.values()) void kept.then(({ reconciler }) => run(reconciler)).catch(() => undefined);
  }

  /** Tells the members of shards led here, and gives up shards that neither want this machine nor have it. */
  async #announceAndDrop(): Promise<void> {
    const { host, log, name, failureTimeoutMs } = this.#options;
    for (const [shard, opening] of this.#kept) {
      const kept = await opening;
      if (kept.member.isLeader) {
        this.#options.tell(kept.member);
        continue;
      }
      const wanted = this.#table.shards[shard]?.wanted;
      if (wanted === undefined || wanted.some((place) => place.name === name)) continue;
      // Only the leader's confirmed word counts: updates may lag, and a copy given up is a copy lost.
      const view = await this.#finder.ask(shard, consensusCalls.view, { shard }, failureTimeoutMs * 2).catch(() => undefined);
      if (view === undefined || view.group.some((groupMember) => groupMember.identity.name === name)) continue;
      // One that was taken for silent may have left the group before its successor counts: until then its copy is worth having.
      const isVoter = (place: { readonly name: NodeName }): boolean =>
        view.group.some((groupMember) => groupMember.isVoter && groupMember.identity.name === place.name);
      if (!wanted.every(isVoter)) continue;
      this.#kept.delete(shard);
      kept.reconciler.close();
      await host.drop(shard);
      log.info(`${shard}: given up, nothing of it is left here`);
    }
  }
}
