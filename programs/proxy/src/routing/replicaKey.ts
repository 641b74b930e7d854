import type { Replica } from '@pewterlanding/agent';

/** What tells replicas apart: the life where they name one, for two lives may follow each other at one address. */
export function replicaKey(replica: Replica): string {
  return replica.instance ?? replica.address;
}
