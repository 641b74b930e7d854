import { roleOrder } from '@pewterlanding/membership';
import type { Membership, NodeRecord } from '@pewterlanding/membership';

/** The first of the other live controllers in the agreed order of a role; undefined where there is none. */
export function successorOf(role: string, membership: Membership): NodeRecord | undefined {
  const others = membership.live().filter((nodeRecord) => nodeRecord.role === 'controller' && nodeRecord.name !== membership.name);
  const [successor] = roleOrder(
    role,
    others.map((nodeRecord) => nodeRecord.name),
  );
  return others.find((nodeRecord) => nodeRecord.name === successor);
}
