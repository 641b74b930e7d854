import type { NodeName } from '@pewterlanding/model';
import { rendezvous } from '@pewterlanding/model';

/** The agreed order in which nodes are offered a role. */
export function roleOrder(role: string, nodes: readonly NodeName[]): readonly NodeName[] {
  return rendezvous(`role ${role}`, nodes);
}
