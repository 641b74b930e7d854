import * as v from 'valibot';
import type { HostedShard, ShardHost } from '@pewterlanding/consensus';
import { ShardSet, ShardMap } from '@pewterlanding/consensus';
import { updateKeys, Replica, Usage } from '@pewterlanding/agent';
import { shardOf } from '@pewterlanding/model';
import type { ServiceName, Configuration } from '@pewterlanding/model';
import type { Membership, Update } from '@pewterlanding/membership';
import type { Clock, Counters, Log, Transport } from '@pewterlanding/runtime';
import { announceGroup } from '@pewterlanding/store';
import type { ServiceCommand } from './serviceCommand.js';
import type { ServiceReturn } from './serviceReturn.js';
import { ServiceShard } from './serviceShard.js';

interface ServiceRegistryOptions {
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly log: Log;
  readonly bounds: { readonly failureTimeoutMs: number };
  /** Ends the process: its disk cannot be relied on. */
  readonly fatal: (error: unknown) => void;
}

type HostedServiceShard = HostedShard<ServiceCommand, ServiceReturn, ServiceShard>;

/**
 * The service shards on a controller. All controllers see the gossiped updates; the leader of a service's shard has those committed
 * that must last, and publishes the committed state in the state table.
 */
export class ServiceRegistry {
  readonly #options: ServiceRegistryOptions;
  readonly #configuration: () => Configuration | undefined;
  readonly #shards: ShardSet<ServiceCommand, ServiceReturn, ServiceShard>;

  constructor(options: ServiceRegistryOptions, host: ShardHost, configuration: () => Configuration | undefined) {
    const { membership, transport, clock, counters, log, bounds } = options;
    this.#options = options;
    this.#configuration = configuration;
    this.#shards = new ShardSet<ServiceCommand, ServiceReturn, ServiceShard>({
      prefix: 'services-',
      name: membership.name,
      host,
      transport,
      clock,
      counters,
      log,
      fatal: options.fatal,
      failureTimeoutMs: bounds.failureTimeoutMs,
      stateMachine: () => new ServiceShard(),
      told: (shard) => membership.stateTable.get(ShardMap.groupKey(shard))?.value,
      tell: (member) => announceGroup(membership, member),
      applied: (hosted) => this.#publish(hosted),
    });
    membership.onNodeRecord((nodeRecord, begun) => {
      if (begun) this.#shards.meet(nodeRecord.address);
    });
    membership.onUpdate((update) => this.#takeUpdate(update));
  }

  /** The shards of which this node has a member. */
  all(): Promise<readonly HostedServiceShard[]> {
    return this.#shards.all();
  }

  /** Transfers the leadership of the shards that are led here, for at most so many ms. */
  leave(timeoutMs: number): Promise<void> {
    return this.#shards.leave(timeoutMs);
  }

  close(): void {
    this.#shards.close();
  }

  #takeUpdate({ key, value }: Update): void {
    if (key === ShardMap.key) this.#shards.take(ShardMap.read(value));
    if (key.startsWith(updateKeys.replicas)) this.#recordLeft(value);
    if (key.startsWith(updateKeys.usages)) this.#recordUsage(value);
  }

  #recordUsage(value: unknown): void {
    const read = v.safeParse(Usage, value);
    if (read.success) this.#propose(read.output.service, { kind: 'learn', ...read.output });
  }

  /** A replica that has left must stay so, even when every front has forgotten it. */
  #recordLeft(value: unknown): void {
    const read = v.safeParse(Replica, value);
    // A named instance never returns under its name: nothing has to outlast the fronts.
    if (!read.success || read.output.state !== 'leaving' || read.output.instance !== undefined) return;
    const { service, address, incarnation } = read.output;
    this.#propose(service, { kind: 'left', service, address, incarnation });
  }

  #propose(service: ServiceName, command: ServiceCommand): void {
    const shard = shardOf('services', service, this.#configuration()?.serviceShards ?? 1);
    // The command is its own id: however often the same update is seen, it is applied once.
    this.#shards
      .asLeader(shard, ({ member }) => member.propose(JSON.stringify(command), command))
      .catch(() => this.#options.counters.add('controller.notWritten'));
  }

  #publish({ stateMachine, member }: HostedServiceShard): void {
    for (const [service, statistics] of Object.entries(stateMachine.services)) {
      this.#options.membership.put({
        key: updateKeys.service(service),
        version: [member.term, member.committed],
        volatile: false,
        value: statistics,
      });
    }
  }
}
