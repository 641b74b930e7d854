import type { NodeName } from '@pewterlanding/model';
import { rendezvous } from '@pewterlanding/model';

/** The order in which nodes are candidates for a singleton role: rendezvous hashing, so that all nodes agree on it. */
export function roleOrder(role: string, nodes: readonly NodeName[]): readonly NodeName[] {
  return rendezvous(`role ${role}`, nodes);
}
