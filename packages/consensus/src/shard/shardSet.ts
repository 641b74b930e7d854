import type { Address, NodeName } from '@pewterlanding/model';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { every } from '@pewterlanding/runtime';
import type { GroupMember } from '../group/index.js';
import type { Member } from '../member/index.js';
import { consensusCalls, LeaderFinder, NotLeaderError } from '../protocol/index.js';
import type { ShardView } from '../protocol/index.js';
import { GroupReconciler } from '../reconfiguration/index.js';
import type { StateMachine } from '../state/index.js';
import type { HostedShard } from './hostedShard.js';
import type { ShardHost } from './shardHost.js';
import { ShardMap } from './shardMap.js';

type WantedNodes = ShardMap['shards'][string]['wanted'];

interface ShardSetOptions<C, R, M> {
  /** Which shards of the shard map are of this kind, by the prefix of their names. */
  readonly prefix: string;
  readonly name: NodeName;
  readonly host: ShardHost;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly failureTimeoutMs: number;
  readonly counters: Counters;
  readonly log: Log;
  readonly fatal: (error: unknown) => void;
  /** Creates the state machine of a shard. */
  readonly stateMachine: () => M;
  /** A shard's group as its leader last announced it. */
  readonly told: (shard: string) => unknown;
  /** Announces the group of a shard that is led here. */
  readonly tell: (member: Member<C, R>) => void;
  /** Called after commands were applied to a shard that is led here. */
  readonly applied?: (hosted: HostedShard<C, R, M>) => void;
}

/**
 * The shards of one kind on this node. A shard is opened when the shard map or its group names this node, and dropped when the map does
 * not, and the shard's leader confirms that the wanted nodes have replaced this one.
 */
export class ShardSet<C, R, M extends StateMachine<C, R>> {
  readonly #options: ShardSetOptions<C, R, M>;
  readonly #hosted = new Map<string, Promise<HostedShard<C, R, M>>>();
  readonly #finder: LeaderFinder;
  readonly #stop: () => void;
  /** Resolves once the shards on the disk are being opened; the map is acted on after that, or a file might be opened twice. */
  readonly #diskScanned: Promise<void>;
  #closed = false;
  #map = ShardMap.empty();

  constructor(options: ShardSetOptions<C, R, M>) {
    this.#options = options;
    const { transport, clock, failureTimeoutMs, told } = options;
    this.#finder = new LeaderFinder({
      transport,
      clock,
      tryMs: failureTimeoutMs,
      members: (shard) => ShardMap.members(this.#map, shard, told(shard)),
    });
    this.#stop = every(clock, failureTimeoutMs, () => this.#announceAndDropUnneeded());
    this.#diskScanned = this.#openFromDisk();
    this.#diskScanned.catch(options.fatal);
  }

  /** Takes a shard map over, if it is newer, and opens the shards that it places on this node. */
  take(map: ShardMap | undefined): void {
    if (map === undefined || map.version <= this.#map.version) return;
    this.#map = map;
    void this.#diskScanned.then(() => this.#openWanted()).catch(() => undefined);
  }

  #openWanted(): void {
    if (this.#closed) return;
    for (const [shard, placement] of Object.entries(this.#map.shards)) {
      if (!shard.startsWith(this.#options.prefix) || this.#hosted.has(shard)) continue;
      const announced = ShardMap.readGroup(this.#options.told(shard));
      const group = announced.length > 0 ? announced : placement.bootstrap;
      const nodes = [...group.map(({ identity }) => identity), ...placement.wanted];
      if (nodes.some(({ name }) => name === this.#options.name)) this.#hosted.set(shard, this.#open(shard, placement.bootstrap));
    }
    this.#eachReconciler((reconciler) => reconciler.stepSoon());
  }

  /** The process at an address has restarted, perhaps with an empty disk. */
  meet(address: Address): void {
    this.#eachReconciler((reconciler) => reconciler.meet(address));
  }

  /** Runs on a shard that is open here; rejects with NotLeaderError where it is not, and as its member's calls do. */
  async asLeader<T>(shard: string, run: (hosted: HostedShard<C, R, M>) => Promise<T>): Promise<T> {
    const hosted = this.#hosted.get(shard);
    if (hosted === undefined) throw new NotLeaderError(undefined);
    return run(await hosted);
  }

  /** A linearizable read of a shard's state machine. Rejects like `asLeader` and Member's `confirmLeadership`. */
  read<T>(shard: string, run: (stateMachine: M) => T): Promise<T> {
    return this.asLeader(shard, async ({ member, stateMachine }) => {
      await member.confirmLeadership();
      return run(stateMachine);
    });
  }

  /** All shards that are open here. */
  async all(): Promise<readonly HostedShard<C, R, M>[]> {
    return Promise.all(this.#hosted.values());
  }

  /** Before the process ends: transfers the leadership of all shards that are led here. */
  async leave(patienceMs: number): Promise<void> {
    await Promise.all([...this.#hosted.values()].map(async (hosted) => (await hosted).member.leave(patienceMs)));
  }

  /** Opens, drops and reconciles nothing any more; members are closed by the host. */
  close(): void {
    this.#closed = true;
    this.#stop();
    for (const hosted of this.#hosted.values()) void hosted.then(({ reconciler }) => reconciler.close()).catch(() => undefined);
  }

  /** Opens the shards that the disk holds without waiting for the shard map, so that leaders are elected soon after all nodes restart. */
  async #openFromDisk(): Promise<void> {
    const { host, prefix } = this.#options;
    for (const shard of await host.shards()) {
      if (!shard.startsWith(prefix) || (await host.known(shard)).length === 0 || this.#closed) continue;
      this.#hosted.set(shard, this.#open(shard, []));
    }
  }

  async #open(shard: string, bootstrap: readonly GroupMember[]): Promise<HostedShard<C, R, M>> {
    const { host, transport, clock, counters, log, failureTimeoutMs } = this.#options;
    const stateMachine = this.#options.stateMachine();
    const identity = await host.identity(shard);
    // An empty disk on a bootstrap member's node is not that member: it starts with no group and waits to be added.
    const ownBootstrap = bootstrap.some((groupMember) => groupMember.identity.memberId === identity.memberId) ? bootstrap : [];
    const member = await host.host<C, R>(shard, ownBootstrap, stateMachine, {
      applied: () => {
        void this.#hosted.get(shard)?.then((hosted) => {
          if (hosted.member.isLeader) this.#options.applied?.(hosted);
        });
      },
      leadershipChanged: () => this.#stepSoon(shard),
      noticed: () => this.#stepSoon(shard),
    });
    const wanted = (): WantedNodes | undefined => this.#map.shards[shard]?.wanted;
    const changed = (): void => this.#options.tell(member);
    const reconciler = new GroupReconciler({ member, transport, clock, counters, log, failureTimeoutMs, wanted, changed });
    return { stateMachine, member, reconciler };
  }

  #stepSoon(shard: string): void {
    void this.#hosted.get(shard)?.then(({ reconciler }) => reconciler.stepSoon());
  }

  #eachReconciler(run: (reconciler: GroupReconciler<C, R>) => void): void {
    for (const hosted of this.#hosted.values()) void hosted.then(({ reconciler }) => run(reconciler)).catch(() => undefined);
  }

  /** Announces the groups of shards that are led here, and drops shards in which other nodes have replaced this one. */
  async #announceAndDropUnneeded(): Promise<void> {
    const { host, log, name, failureTimeoutMs } = this.#options;
    for (const [shard, opening] of this.#hosted) {
      const hosted = await opening;
      if (hosted.member.isLeader) {
        this.#options.tell(hosted.member);
        continue;
      }
      const wanted = this.#map.shards[shard]?.wanted;
      if (wanted === undefined || wanted.some((node) => node.name === name)) continue;
      // Only the leader's confirmed view counts: the state table may lag, and a copy that is dropped is lost.
      const view = await this.#finder.ask(shard, consensusCalls.view, { shard }, failureTimeoutMs * 2).catch(() => undefined);
      if (view === undefined || !isReplaced(name, view, wanted)) continue;
      this.#hosted.delete(shard);
      hosted.reconciler.close();
      await host.drop(shard);
      log.info(`${shard}: given up, nothing of it is left here`);
    }
  }
}

/**
 * Whether a node has left a group and all wanted nodes have their votes. A node that was found unreachable may be removed before its
 * successor is a voter; until then its copy may be needed.
 */
function isReplaced(name: NodeName, { group }: ShardView, wanted: WantedNodes): boolean {
  if (group.some((groupMember) => groupMember.identity.name === name)) return false;
  return wanted.every((node) => group.some((groupMember) => groupMember.isVoter && groupMember.identity.name === node.name));
}
