import { updateKeys, Replica } from '@pewterlanding/agent';
import { UpdateReader } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';
import type { ReplicaPool } from './replicaPool.js';

/** Parses each update of the state table once; the dispatcher reads them at every tick. */
const reader = UpdateReader.of(Replica);

/** The serving replicas in the gossiped state table, as one pool for each service. */
export function replicaPools(membership: Membership): ReadonlyMap<string, ReplicaPool> {
  const slots = new Map<string, Map<string, number>>();
  for (const update of membership.stateTable.withPrefix(updateKeys.replicas)) {
    const replica = reader.read(update);
    if (replica?.state !== 'serving') continue;
    const { service, address, instance } = replica;
    // Two instances at one address are two replicas.
    const slotsOfInstances = slots.get(service) ?? new Map<string, number>();
    slots.set(service, slotsOfInstances.set(instance ?? address, replica.slots));
  }
  return new Map([...slots].map(([service, slotsOfInstances]) => [service, poolOf(service, slotsOfInstances)]));
}

function poolOf(service: string, slotsOfInstances: ReadonlyMap<string, number>): ReplicaPool {
  const [firstInstance] = [...slotsOfInstances.keys()].sort();
  const slots = [...slotsOfInstances.values()].reduce((sum, one) => sum + one, 0);
  return { name: firstInstance ?? service, slots, replicas: slotsOfInstances.size };
}
