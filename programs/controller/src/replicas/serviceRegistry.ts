import * as v from 'valibot';
import type { HostedShard, ShardHost } from '@pewterlanding/consensus';
import { ShardSet, ShardMap } from '@pewterlanding/consensus';
import { updateKeys, Replica, Usage } from '@pewterlanding/agent';
import { shardOf } from '@pewterlanding/model';
import type { ServiceName, Configuration } from '@pewterlanding/model';
import { announceGroup } from '@pewterlanding/store';
import type { ControllerOptions } from '../controllerOptions.js';
import type { ServiceCommand } from './serviceCommand.js';
import { ServiceShard } from './serviceShard.js';

type Done = ReturnType<ServiceShard['apply']>;

/** The service shards on a controller. All controllers see the news; the leader of a service's part writes what must last and tells it. */
export class ServiceRegistry {
  readonly #options: ControllerOptions;
  readonly #configuration: () => Configuration | undefined;
  readonly #shards: ShardSet<ServiceCommand, Done, ServiceShard>;

  constructor(options: ControllerOptions, host: ShardHost, configuration: () => Configuration | undefined) {
    const { membership, transport, clock, counters, log, bounds } = options;
    this.#options = options;
    this.#configuration = configuration;
    this.#shards = new ShardSet<ServiceCommand, Done, ServiceShard>({
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
      applied: (kept) => this.#tell(kept),
    });
    membership.onNodeRecord((nodeRecord, begun) => {
      if (begun) this.#shards.meet(nodeRecord.address);
    });
    membership.onUpdate((update) => {
      if (update.key === ShardMap.key) this.#shards.take(ShardMap.read(update.value));
      if (update.key.startsWith(updateKeys.replicas)) this.#notice(update.value);
      if (update.key.startsWith(updateKeys.usages)) this.#learn(update.value);
    });
  }

  all(): Promise<readonly HostedShard<ServiceCommand, Done, ServiceShard>[]> {
    return this.#shards.all();
  }

  leave(patienceMs: number): Promise<void> {
    return this.#shards.leave(patienceMs);
  }

  close(): void {
    this.#shards.close();
  }

  #learn(value: unknown): void {
    const read = v.safeParse(Usage, value);
    if (read.success) this.#write(read.output.service, { kind: 'learn', ...read.output });
  }

  /** A replica's life that ended must stay ended, even when every front has forgotten it. */
  #notice(value: unknown): void {
    const read = v.safeParse(Replica, value);
    // A life that names itself never returns under its name: nothing has to outlast the fronts.
    if (!read.success || read.output.state !== 'leaving' || read.output.instance !== undefined) return;
    const { service, address, incarnation } = read.output;
    this.#write(service, { kind: 'left', service, address, incarnation });
  }

  #write(service: ServiceName, command: ServiceCommand): void {
    const shard = shardOf('services', service, this.#configuration()?.serviceShards ?? 1);
    // The command is its own id: all that see the same news write it once.
    this.#shards
      .asLeader(shard, ({ member }) => member.propose(JSON.stringify(command), command))
      .catch(() => this.#options.counters.add('controller.notWritten'));
  }

  #tell({ stateMachine, member }: HostedShard<ServiceCommand, Done, ServiceShard>): void {
    for (const [service, known] of Object.entries(stateMachine.services)) {
      this.#options.membership.put({
        key: updateKeys.service(service),
        version: [member.term, member.committed],
        volatile: false,
        value: known,
      });
    }
  }
}
