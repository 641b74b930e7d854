import { updateKeys, Replica } from '@pewterlanding/agent';
import { UpdateReader } from '@pewterlanding/membership';
import type { Membership } from '@pewterlanding/membership';

interface Pool {
  /** Equal for services that share replicas. */
  readonly name: string;
  readonly slots: number;
}

/** The dispatcher looks at each of its ticks. */
const reader = UpdateReader.of(Replica);

/** What the controller sees of replicas in the news: the slots behind each service, and which services share them. */
export function fleetView(membership: Membership): ReadonlyMap<string, Pool> {
  const slots = new Map<string, Map<string, number>>();
  for (const update of membership.stateTable.withPrefix(updateKeys.replicas)) {
    const replica = reader.read(update);
    if (replica?.state !== 'serving') continue;
    const { service, address, instance } = replica;
    // Two lives at one address are two replicas.
    slots.set(service, (slots.get(service) ?? new Map<string, number>()).set(instance ?? address, replica.slots));
  }
  return new Map(
    [...slots].map(([service, replicas]) => [
      service,
      { name: [...replicas.keys()].sort()[0] ?? service, slots: [...replicas.values()].reduce((sum, one) => sum + one, 0) },
    ]),
  );
}
