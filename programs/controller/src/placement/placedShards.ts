import { entriesOf } from '@pewterlanding/model';
import type { Address, NodeName } from '@pewterlanding/model';
import type { Placement } from './placement.js';

interface Wanted {
  readonly name: NodeName;
  readonly address: Address;
}

/** Where every shard shall sit, with the addresses that the machines announced. */
export function placedShards(placement: Placement): ReadonlyMap<string, Wanted[]> {
  const machines = new Map(entriesOf(placement.machines));
  return new Map(
    Object.entries(placement.shards).map(([shard, names]) => [
      shard,
      names.flatMap((name) => {
        const machine = machines.get(name);
        return machine === undefined ? [] : [{ name, address: machine.address }];
      }),
    ]),
  );
}
