import type { GroupMember, ShardMap } from '@pewterlanding/consensus';
import { entriesOf } from '@pewterlanding/model';
import type { NodeName } from '@pewterlanding/model';
import { placedShards } from '../placement/placedShards.js';
import type { Placement } from '../placement/placement.js';
import { wantedShards } from '../placement/wantedShards.js';
import type { ConfigurationReturn } from './configurationReturn.js';
import { configurationShardName } from './configurationShardName.js';
import type { ConfigurationState } from './configurationState.js';

/** Which shards there are and which machines hold them, in the configuration shard's state. */
export const shardTable = {
  /** The members that every shard should have: as the configuration lists its machines, or as those that joined were placed. */
  wanted({ configuration, placement }: ConfigurationState): ReturnType<typeof wantedShards> {
    return configuration === undefined || configuration.joining ? placedShards(placement) : wantedShards(configuration);
  },

  /** The shards that the configuration wants but that have no first members yet. */
  notBootstrapped(state: ConfigurationState): readonly string[] {
    return [...shardTable.wanted(state).keys()].filter(
      (shard) => shard !== configurationShardName && state.bootstrapped[shard] === undefined,
    );
  },

  table(state: ConfigurationState): ShardMap {
    const { bootstrapped, tableVersion } = state;
    const wanted = shardTable.wanted(state);
    const rows = Object.entries(bootstrapped).map(
      ([shard, members]) => [shard, { bootstrap: members, wanted: wanted.get(shard) ?? [] }] as const,
    );
    return { version: tableVersion, shards: Object.fromEntries(rows) };
  },

  /** Puts a placement in force if it follows on the present one. */
  place(state: ConfigurationState, placement: Placement): void {
    if (placement.version !== state.placement.version + 1) return;
    state.placement = placement;
    state.tableVersion += 1;
  },

  /** Stores the first members of a shard. They stand: another group would begin a second history of the same shard. */
  bootstrap(state: ConfigurationState, shard: string, members: GroupMember[]): void {
    if (state.bootstrapped[shard] !== undefined) return;
    state.bootstrapped = { ...state.bootstrapped, [shard]: members };
    state.tableVersion += 1;
  },

  /** Marks a store to be emptied, if at least `minimum` others remain that are neither being emptied nor away. */
  empty(state: ConfigurationState, name: NodeName, away: readonly NodeName[], minimum: number): NonNullable<ConfigurationReturn['empty']> {
    const { machines, emptying, version } = state.placement;
    if (machines[name]?.role !== 'store') return 'unknown';
    if (emptying.includes(name)) return 'started';
    const excluded = [name, ...emptying, ...away];
    const remaining = entriesOf(machines).filter(([other, { role }]) => role === 'store' && !excluded.includes(other));
    if (remaining.length < minimum) return 'too few';
    state.placement = { ...state.placement, version: version + 1, emptying: [...emptying, name] };
    return 'started';
  },
};
