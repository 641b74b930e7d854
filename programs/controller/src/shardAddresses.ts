import { ShardMap } from '@pewterlanding/consensus';
import type { Membership } from '@pewterlanding/membership';
import type { Address } from '@pewterlanding/model';
import { configurationShardName } from './configuration/configurationShardName.js';

/** Where the members of shards can be asked, as membership and the shard table show them. */
export class ShardAddresses {
  readonly #membership: Membership;
  readonly #seeds: readonly Address[];
  readonly #table: () => ShardMap;

  constructor(membership: Membership, seeds: readonly Address[], table: () => ShardMap) {
    this.#membership = membership;
    this.#seeds = seeds;
    this.#table = table;
  }

  /** Addresses of a shard's members, those of live machines first: asking one that is gone costs a timeout. */
  of(shard: string): readonly Address[] {
    const announced = this.#membership.stateTable.get(ShardMap.groupKey(shard))?.value;
    if (shard !== configurationShardName) return this.#liveFirst(ShardMap.members(this.#table(), shard, announced));
    // Every controller may be a member of the configuration shard, also before its group was announced.
    const members = ShardMap.readGroup(announced).map((member) => member.identity.address);
    return this.#liveFirst([...new Set([...members, ...this.#liveControllers(), ...this.#seeds])]);
  }

  #liveControllers(): readonly Address[] {
    const controllers = this.#membership.live().filter(({ role }) => role === 'controller');
    return controllers.map(({ address }) => address);
  }

  #liveFirst(addresses: readonly Address[]): readonly Address[] {
    const live = new Set<Address>(this.#membership.live().map(({ address }) => address));
    const reachable = addresses.filter((address) => live.has(address));
    const unreachable = addresses.filter((address) => !live.has(address));
    return [...reachable, ...unreachable];
  }
}
