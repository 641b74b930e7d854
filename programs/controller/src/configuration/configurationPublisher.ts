import * as v from 'valibot';
import { ShardMap } from '@pewterlanding/consensus';
import { updateKeys } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import { VersionedConfiguration } from '@pewterlanding/model';
import type { ConfigurationShard } from './configurationShard.js';
import { withoutSourceDocuments } from './withoutSourceDocuments.js';

/** The newest configuration and shard table that membership has spread, and on the leader their publication. */
export class ConfigurationPublisher {
  readonly #membership: Membership;
  readonly #machine: ConfigurationShard;
  #table = ShardMap.empty();
  #configuration: VersionedConfiguration | undefined;

  constructor(membership: Membership, machine: ConfigurationShard) {
    this.#membership = membership;
    this.#machine = machine;
  }

  /** The configuration in force as far as this machine knows. */
  get configuration(): VersionedConfiguration | undefined {
    return this.#configuration;
  }

  get table(): ShardMap {
    return this.#table;
  }

  /** Takes in an update of the state table; only newer versions have an effect. */
  receive(key: string, value: unknown): void {
    if (key === ShardMap.key) this.#receiveTable(value);
    if (key === updateKeys.configuration) this.#receiveConfiguration(value);
  }

  /** Spreads what was committed. Only the leader of the configuration shard may publish. */
  publish(): void {
    this.#publishConfiguration();
    this.#publishTable();
    this.#publishRoles();
  }

  #receiveTable(value: unknown): void {
    const table = ShardMap.read(value);
    if (table !== undefined && table.version > this.#table.version) this.#table = table;
  }

  #receiveConfiguration(value: unknown): void {
    const read = v.safeParse(VersionedConfiguration, value);
    const version = this.#configuration?.version ?? 0;
    if (read.success && read.output.version > version) this.#configuration = read.output;
  }

  #publishConfiguration(): void {
    const { version, configuration } = this.#machine;
    const published = this.#configuration?.version ?? 0;
    if (configuration === undefined || published >= version) return;
    const value = { version, configuration: withoutSourceDocuments(configuration) };
    this.#membership.putChanged({ key: updateKeys.configuration, version: [version, 0], volatile: false, value });
  }

  #publishTable(): void {
    const table = this.#machine.table();
    if (table.version <= this.#table.version) return;
    this.#membership.putChanged({ key: ShardMap.key, version: [table.version, 0], volatile: false, value: table });
  }

  #publishRoles(): void {
    for (const [name, role] of Object.entries(this.#machine.singletonRoles)) {
      const key = updateKeys.singletonRole(name);
      const published = this.#membership.stateTable.get(key)?.version[0];
      if (published !== role.term) this.#membership.put({ key, version: [role.term, 0], volatile: false, value: role });
    }
  }
}
