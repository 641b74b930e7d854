import { entriesOf } from '@pewterlanding/model';
import type { Placement } from './placement.js';
import type { ShardAddress } from './shardAddress.js';

/** Where every shard is placed, with the addresses that the machines announced. */
export function placedShards(placement: Placement): ReadonlyMap<string, ShardAddress[]> {
  const machines = new Map(entriesOf(placement.machines));
  const placed = new Map<string, ShardAddress[]>();
  for (const [shard, names] of Object.entries(placement.shards)) {
    const members: ShardAddress[] = [];
    for (const name of names) {
      const machine = machines.get(name);
      if (machine !== undefined) members.push({ name, address: machine.address });
    }
    placed.set(shard, members);
  }
  return placed;
}
