import { GroupReconciler } from '@pewterlanding/consensus';
import type { GroupMember, Member, ShardHost } from '@pewterlanding/consensus';
import { ConfigurationShard } from '@pewterlanding/controller';
import type { ConfigurationCommand, ConfigurationReturn } from '@pewterlanding/controller';
import { Counters, quietLog } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Disk, Transport } from '@pewterlanding/runtime';
import { Instance, SimMachine } from '../engine/index.js';
import type { SimNet } from '../network/index.js';
import type { SimClock, SimTime } from '../engine/index.js';
import { groupProcess } from './groupProcess.js';
import { modelBounds } from './modelBounds.js';
import { PackedShard } from './packedShard.js';

interface ExploredProcessOptions {
  readonly name: NodeName;
  readonly address: Address;
  readonly time: SimTime;
  readonly net: SimNet;
  readonly openDisk: (instance: Instance) => Disk;
  readonly mintMemberId: () => string;
  readonly led: (term: number, memberId: string) => void;
  /** Where the group shall sit, for the reconciler; undefined where it shall do nothing. */
  readonly wanted: () => readonly { readonly name: NodeName; readonly address: Address }[] | undefined;
}

const shard = 'setup';
const { failureTimeoutMs } = modelBounds;

/** One instance of a process in the small group that is explored: the shipped member and its reconciler, and nothing beside them. */
export class ExploredProcess {
  readonly instance = new Instance();
  readonly machine = new ConfigurationShard();
  readonly host: ShardHost;
  readonly #options: ExploredProcessOptions;
  readonly #clock: SimClock;
  readonly #transport: Transport;
  #member: Member<ConfigurationCommand, ConfigurationReturn> | undefined;
  #reconciler: GroupReconciler<ConfigurationCommand, ConfigurationReturn> | undefined;

  constructor(options: ExploredProcessOptions) {
    this.#options = options;
    const { name, address, time, net, mintMemberId, led } = options;
    const { instance } = this;
    const machine = new SimMachine(name, 'a', 0, time);
    const openDisk = (): Disk => options.openDisk(instance);
    const fatal = (): void => this.end();
    const parts = groupProcess({ name, address, instance, machine, time, net, openDisk, log: quietLog, fatal, mintMemberId, led });
    this.#clock = parts.clock;
    this.#transport = parts.transport;
    this.host = parts.host;
  }

  get member(): Member<ConfigurationCommand, ConfigurationReturn> | undefined {
    return this.#member;
  }

  /** Opens the shard on what the disk holds; `group` is the one it begins with, on a disk that holds none. */
  async open(group: readonly GroupMember[]): Promise<void> {
    const soon = (): void => this.#reconciler?.stepSoon();
    const hooks = { leadershipChanged: soon, applied: soon, noticed: soon };
    const member = await this.host.host<ConfigurationCommand, ConfigurationReturn>(shard, group, new PackedShard(this.machine), hooks);
    this.#member = member;
    const context = { clock: this.#clock, transport: this.#transport, counters: new Counters(), log: quietLog };
    this.#reconciler = new GroupReconciler({ ...context, member, failureTimeoutMs, wanted: this.#options.wanted });
  }

  end(): void {
    this.instance.end();
    this.#reconciler?.close();
    this.host.close();
  }
}
