import { GroupReconciler, ShardHost } from '@pewterlanding/consensus';
import type { GroupMember, Member } from '@pewterlanding/consensus';
import { ConfigurationShard } from '@pewterlanding/controller';
import type { ConfigurationCommand, ConfigurationReturn } from '@pewterlanding/controller';
import { Counters, quietLog } from '@pewterlanding/runtime';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Disk, Transport } from '@pewterlanding/runtime';
import { Instance, SimClock, SimMachine } from '../engine/index.js';
import type { SimNet } from '../network/index.js';
import type { SimTime } from '../engine/index.js';
import { SimTransport } from '../network/index.js';
import { modelBounds } from './modelBounds.js';
import { PackedShard } from './packedShard.js';
import { tapTransport } from './tapTransport.js';

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
const { failureTimeoutMs, compactBytes } = modelBounds;

/** One life of a process in the small group that is explored: the shipped member and its reconciler, and nothing beside them. */
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
    const { name, address, time, net, mintMemberId } = options;
    const machine = new SimMachine(name, 'a', 0, time);
    this.#clock = new SimClock(time, machine, this.instance);
    const context = { clock: this.#clock, counters: new Counters() };
    this.#transport = tapTransport(new SimTransport({ ...context, here: address, machine, instance: this.instance, net }), options.led);
    const bounds = { failureTimeoutMs, compactBytes };
    const disk = options.openDisk(this.instance);
    const fatal = (): void => this.end();
    this.host = new ShardHost({ ...context, transport: this.#transport, disk, bounds, log: quietLog, fatal, name, address, mintMemberId });
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
