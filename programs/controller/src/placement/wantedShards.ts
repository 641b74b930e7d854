import { entriesOf, rendezvous } from '@pewterlanding/model';
import type { Address, NodeName, Configuration } from '@pewterlanding/model';

interface Wanted {
  readonly name: NodeName;
  readonly address: Address;
}

/** Where every shard shall sit under a setup: a few machines by rendezvous, so that one machine more or less moves little. */
export function wantedShards(configuration: Configuration): ReadonlyMap<string, Wanted[]> {
  const controllers = entriesOf(configuration.controllers).map(([name, place]) => ({ name, address: place.address }));
  const stores = entriesOf(configuration.stores)
    .filter(([name]) => !configuration.emptying.includes(name))
    .map(([name, place]) => ({ name, address: place.address }));
  const choose = (shard: string, machines: readonly Wanted[], copies: number): Wanted[] =>
    rendezvous(
      shard,
      machines.map((machine) => machine.name),
    )
      .slice(0, copies)
      .flatMap((name) => machines.filter((machine) => machine.name === name));
  const wanted = new Map<string, Wanted[]>([['setup', choose('setup', controllers, controllers.length)]]);
  for (let shard = 0; shard < configuration.serviceShards; shard += 1)
    wanted.set(`services-${shard}`, choose(`services-${shard}`, controllers, configuration.copies));
  for (let shard = 0; shard < configuration.batchShards; shard += 1)
    wanted.set(`lots-${shard}`, choose(`lots-${shard}`, stores, configuration.copies));
  return wanted;
}
