import { entriesOf, rendezvous } from '@pewterlanding/model';
import type { Configuration } from '@pewterlanding/model';
import { configurationShardName } from './configurationShardName.js';
import type { ShardAddress } from './shardAddress.js';
import { shardNames } from './shardNames.js';

/**
 * Where every shard belongs under a configuration that lists its machines: as many as there are copies, by rendezvous hashing, so
 * that one machine more or less moves few copies. The configuration shard is on all controllers.
 */
export function wantedShards(configuration: Configuration): ReadonlyMap<string, ShardAddress[]> {
  const { copies, serviceShards, batchShards, emptying } = configuration;
  const controllers = entriesOf(configuration.controllers).map(([name, place]) => ({ name, address: place.address }));
  const stores = entriesOf(configuration.stores)
    .filter(([name]) => !emptying.includes(name))
    .map(([name, place]) => ({ name, address: place.address }));
  const wanted = new Map<string, ShardAddress[]>();
  wanted.set(configurationShardName, choose(configurationShardName, controllers, controllers.length));
  for (const shard of shardNames('services', serviceShards)) wanted.set(shard, choose(shard, controllers, copies));
  for (const shard of shardNames('lots', batchShards)) wanted.set(shard, choose(shard, stores, copies));
  return wanted;
}

function choose(shard: string, machines: readonly ShardAddress[], copies: number): ShardAddress[] {
  const order = rendezvous(
    shard,
    machines.map((machine) => machine.name),
  );
  const byName = new Map(machines.map((machine) => [machine.name, machine]));
  return order
    .slice(0, copies)
    .map((name) => byName.get(name))
    .filter((machine) => machine !== undefined);
}
