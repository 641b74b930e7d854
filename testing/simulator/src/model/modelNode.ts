import { bootstrapGroup, GroupReconciler, LeaderFinder, replyAsLeader } from '@pewterlanding/consensus';
import type { Member, ShardHost } from '@pewterlanding/consensus';
import { controllerCalls, firstStart, OperatorApi, serveConfigurationChanges, ConfigurationShard } from '@pewterlanding/controller';
import type { Placement, ConfigurationCommand, ConfigurationReturn } from '@pewterlanding/controller';
import { every, TransportError } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Counters, Disk, Log, Transport } from '@pewterlanding/runtime';
import { Instance } from '../engine/index.js';
import type { SimDisk } from '../disk/index.js';
import type { SimClock, SimMachine, SimTime } from '../engine/index.js';
import { groupProcess } from './groupProcess.js';
import { modelBounds } from './modelBounds.js';
import type { ModelNet } from './modelNet.js';
import { PackedShard } from './packedShard.js';
import type { WriteTrap } from './writeTrap.js';

interface ModelNodeOptions {
  readonly name: NodeName;
  readonly address: Address;
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  readonly trap: WriteTrap;
  readonly time: SimTime;
  readonly net: ModelNet;
  readonly log: Log;
  /** Where the group begins. */
  readonly seeds: readonly Address[];
  /** Where a leader may be, for who looks for it. */
  readonly everywhere: () => readonly Address[];
  /** Whether the group starts for the very first time. */
  readonly bootstrap: boolean;
  readonly mintMemberId: () => string;
  /** The placement that shall follow on the one in force, if another is wanted. */
  readonly nextPlacement: (now: Placement) => Placement | undefined;
  readonly fatal: () => void;
  /** Told who sends as a leader under which term. */
  readonly led: (term: number, memberId: string) => void;
}

const shard = 'setup';
const { failureTimeoutMs, orderWaitMs } = modelBounds;

/** One instance of a process that is a member of the group: the shipped classes, put together as the controller does it. */
export class ModelNode {
  readonly instance = new Instance();
  readonly machine = new ConfigurationShard();
  readonly operatorApi: OperatorApi;
  readonly #options: ModelNodeOptions;
  readonly #clock: SimClock;
  readonly #transport: Transport;
  readonly #host: ShardHost;
  readonly #counters: Counters;
  #member: Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  #reconciler: GroupReconciler<ConfigurationCommand, ConfigurationReturn> | undefined;
  #stop = (): void => undefined;

  constructor(options: ModelNodeOptions) {
    this.#options = options;
    const { address, machine, time, net, log, fatal, name, mintMemberId, led } = options;
    const { instance } = this;
    const openDisk = (): Disk => options.trap.wrap(options.disk.open(instance));
    const parts = groupProcess({ name, address, instance, machine, time, net, openDisk, log, fatal, mintMemberId, led });
    this.#clock = parts.clock;
    this.#counters = parts.counters;
    this.#transport = parts.transport;
    this.#host = parts.host;
    const finder = new LeaderFinder({
      transport: this.#transport,
      clock: this.#clock,
      tryMs: failureTimeoutMs,
      members: options.everywhere,
    });
    this.operatorApi = new OperatorApi({ finder, clock: this.#clock, waitMs: orderWaitMs });
    this.#serve();
    this.#open(parts.disk).catch((error: unknown) => log.error(String(error)));
  }

  get member(): Member<ConfigurationCommand, ConfigurationReturn> | undefined {
    return this.#member;
  }

  /** A machine began anew at an address. */
  meet(address: Address): void {
    this.#options.machine.run(() => this.#reconciler?.meet(address));
  }

  /** Has the member try to take over, as a leader's offer would. */
  stand(): void {
    const member = this.#member;
    if (member === undefined || this.#options.machine.frozen) return;
    const { memberId, name } = member.self;
    void member.transfer({ shard, memberId, from: name, term: member.term });
  }

  async leave(): Promise<void> {
    await this.#member?.leave(failureTimeoutMs * 2);
  }

  end(): void {
    this.instance.end();
    this.#stop();
    this.#reconciler?.close();
    this.#host.close();
  }

  async #open(disk: Parameters<typeof firstStart>[0]): Promise<void> {
    const { seeds, log } = this.#options;
    const transport = this.#transport;
    const context = { clock: this.#clock, counters: this.#counters };
    const known = await this.#host.known(shard);
    const { bootstrap, over } = await firstStart(disk, this.#options.bootstrap);
    const group = await bootstrapGroup({
      ...context,
      transport,
      shard,
      host: this.#host,
      seeds,
      waitMs: failureTimeoutMs,
      known,
      bootstrap,
    });
    const soon = (): void => this.#reconciler?.stepSoon();
    const hooks = { leadershipChanged: soon, applied: soon, noticed: soon };
    const member = await this.#host.host<ConfigurationCommand, ConfigurationReturn>(shard, group, new PackedShard(this.machine), hooks);
    this.#member = member;
    await over();
    const wanted = (): ReturnType<ReturnType<ConfigurationShard['wanted']>['get']> => this.machine.wanted().get(shard);
    this.#reconciler = new GroupReconciler({ ...context, member, transport, log, failureTimeoutMs, wanted });
    this.#stop = every(this.#clock, failureTimeoutMs / 4, () => this.#seat(member));
  }

  /** Has the wanted placement written, as the controller does for the machines that announce themselves. */
  async #seat(member: Member<ConfigurationCommand, ConfigurationReturn>): Promise<void> {
    if (!member.isLeader) return;
    const placement = this.#options.nextPlacement(this.machine.placement);
    if (placement !== undefined) await member.propose(`sit/${placement.version}`, { kind: 'place', placement });
  }

  #serve(): void {
    const confirmed = (): Promise<void> => this.#serving().confirmLeadership();
    serveConfigurationChanges({
      transport: this.#transport,
      counters: this.#counters,
      machine: this.machine,
      wallMs: () => this.#clock.wallMs(),
      confirmed,
      propose: (id, command) => this.#serving().propose(id, command),
      publish: () => undefined,
    });
    this.#transport.serve(controllerCalls.configuration, () =>
      replyAsLeader(async () => {
        await confirmed();
        const { version, configuration, history, singletonRoles } = this.machine;
        return { version, configuration, history: [...history], singletonRoles: { ...singletonRoles } };
      }),
    );
  }

  #serving(): Member<ConfigurationCommand, ConfigurationReturn> {
    if (this.#member === undefined) throw new TransportError('refused', 'not yet a member');
    return this.#member;
  }
}
