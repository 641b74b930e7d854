import * as v from 'valibot';
import { GroupReconciler, ShardHost } from '@pewterlanding/consensus';
import type { GroupMember, Member } from '@pewterlanding/consensus';
import { Address, NodeName } from '@pewterlanding/model';
import { Counters, quietLog, seededRandom } from '@pewterlanding/runtime';
import { ValueMap } from './valueMap.js';
import { Instance, SimClock, SimDisk, SimMachine, SimNet, SimTime, SimTransport } from '../src/index.js';

interface ClusterNode {
  readonly name: NodeName;
  readonly address: Address;
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  counters: Counters;
  instance: Instance;
  stateMachine: ValueMap;
  host: ShardHost | undefined;
  transport: SimTransport | undefined;
  member: Member<ReturnType<ValueMap['read']>, number> | undefined;
  reconciler: GroupReconciler<ReturnType<ValueMap['read']>, number> | undefined;
}

interface ClusterOptions {
  readonly seed?: number;
  readonly members?: number;
  /** Machines that begin without a member. */
  readonly spares?: number;
  readonly compactBytes?: number;
  /** Each member brings the group to the machines that are wanted, while it leads. */
  readonly reconciled?: boolean;
}

/** The members of one shard in virtual time, made of the classes that ship. */
export class ShardCluster {
  static readonly shard = 'values';
  static readonly failureTimeoutMs = 1000;
  readonly time = new SimTime();
  readonly net: SimNet;
  readonly nodes: ClusterNode[];
  readonly #options: ClusterOptions;
  /** The machines where the shard shall be. */
  readonly wanted = new Set<number>();
  #bootstrap: GroupMember[] = [];
  #minted = 0;

  constructor(options: ClusterOptions = {}) {
    this.#options = options;
    const { seed = Number(process.env['PROPERTY_SEED'] ?? 1), members = 3, spares = 0 } = options;
    const random = seededRandom(seed);
    for (let position = 0; position < members; position += 1) this.wanted.add(position);
    this.net = new SimNet(this.time, random);
    this.nodes = Array.from({ length: members + spares }, (_, position) => {
      const instance = new Instance();
      instance.end();
      return {
        name: v.parse(NodeName, `core-${position + 1}`),
        address: v.parse(Address, `127.0.20.${position + 1}:7000`),
        machine: new SimMachine(`core-${position + 1}`, 'a', 0, this.time),
        disk: new SimDisk(this.time, random),
        counters: new Counters(),
        instance,
        stateMachine: new ValueMap(),
        host: undefined,
        transport: undefined,
        member: undefined,
        reconciler: undefined,
      };
    });
  }

  node(position: number): ClusterNode {
    const node = this.nodes[position];
    if (node === undefined) throw new Error(`no machine ${position}`);
    return node;
  }

  /** Starts all, the members on the group that they found. */
  async begin(): Promise<void> {
    const { members = 3 } = this.#options;
    for (const node of this.nodes) this.#open(node);
    for (const node of this.nodes.slice(0, members)) {
      const identity = await this.until(this.#hostOf(node).identity(ShardCluster.shard));
      this.#bootstrap.push({ identity, isVoter: true });
    }
    await Promise.all(this.nodes.map((node) => this.host(node)));
    await this.pass(ShardCluster.failureTimeoutMs * 3);
  }

  /** Ends a process; what it had not synced may be torn. */
  kill(position: number): void {
    const node = this.node(position);
    node.instance.end();
    node.host?.close();
    node.reconciler?.close();
    node.reconciler = undefined;
    node.member = undefined;
  }

  async start(position: number): Promise<void> {
    const node = this.node(position);
    this.#open(node);
    await this.host(node);
  }

  get leader(): ClusterNode {
    const leader = this.nodes.find((node) => !node.instance.dead && node.member?.isLeader === true);
    if (leader === undefined) throw new Error('nobody leads');
    return leader;
  }

  get followers(): readonly ClusterNode[] {
    return this.nodes.filter((node) => node !== this.leader);
  }

  memberOf(node: ClusterNode): Member<ReturnType<ValueMap['read']>, number> {
    if (node.member === undefined) throw new Error(`${node.name} has no member`);
    return node.member;
  }

  async put(key: string, lengthBytes: number): Promise<number> {
    const value = new Uint8Array(lengthBytes).fill(key.length);
    this.#minted += 1;
    return this.until(this.memberOf(this.leader).propose(`put-${this.#minted}`, { key, value }));
  }

  async pass(ms: number): Promise<void> {
    await this.time.runTo(this.time.nowMs + ms);
  }

  /** Lets time pass until a promise settles. */
  async until<T>(promise: Promise<T>, maxMs = 60_000): Promise<T> {
    let settled = false;
    const noted = promise.finally(() => {
      settled = true;
    });
    noted.catch(() => undefined);
    const untilMs = this.time.nowMs + maxMs;
    while (!settled) {
      if (this.time.nowMs >= untilMs) throw new Error(`nothing came in ${maxMs} ms`);
      await this.pass(1);
    }
    return noted;
  }

  /** Lets time pass until something holds; how long that took. */
  async untilTrue(holds: () => boolean, maxMs = 60_000): Promise<number> {
    const startMs = this.time.nowMs;
    while (!holds()) {
      if (this.time.nowMs - startMs >= maxMs) throw new Error(`not so in ${maxMs} ms`);
      await this.pass(5);
    }
    return this.time.nowMs - startMs;
  }

  #hostOf(node: ClusterNode): ShardHost {
    if (node.host === undefined) throw new Error(`${node.name} is not started`);
    return node.host;
  }

  #open(node: ClusterNode): void {
    const { machine, address, name } = node;
    const instance = new Instance();
    const counters = new Counters();
    const clock = new SimClock(this.time, machine, instance);
    const transport = new SimTransport({ here: address, machine, instance, clock, counters, net: this.net });
    const bounds = { failureTimeoutMs: ShardCluster.failureTimeoutMs, compactBytes: this.#options.compactBytes ?? 1 << 20 };
    const fatal = (): void => instance.end();
    const disk = node.disk.open(instance);
    const mintMemberId = (): string => `member-${(this.#minted += 1)}`;
    node.instance = instance;
    node.transport = transport;
    node.counters = counters;
    node.stateMachine = new ValueMap();
    node.host = new ShardHost({ clock, transport, disk, bounds, counters, log: quietLog, fatal, name, address, mintMemberId });
  }

  async host(node: ClusterNode): Promise<void> {
    const host = this.#hostOf(node);
    const identity = await this.until(host.identity(ShardCluster.shard));
    const founder = this.#bootstrap.some((groupMember) => groupMember.identity.memberId === identity.memberId);
    const hooks = { noticed: () => node.reconciler?.stepSoon() };
    const member = await this.until(host.host(ShardCluster.shard, founder ? this.#bootstrap : [], node.stateMachine, hooks));
    node.member = member;
    if (this.#options.reconciled !== true || node.transport === undefined) return;
    const { counters, transport, instance, machine } = node;
    const clock = new SimClock(this.time, machine, instance);
    const { failureTimeoutMs } = ShardCluster;
    const wanted = (): ClusterNode[] => this.nodes.filter((_, position) => this.wanted.has(position));
    node.reconciler = new GroupReconciler({ member, transport, clock, counters, log: quietLog, failureTimeoutMs, wanted });
  }
}
