import type { Replica } from '@pewterlanding/agent';

/** Identifies a replica: its instance where it announces one, as two instances may follow each other at one address; else the address. */
export function replicaKey(replica: Replica): string {
  return replica.instance ?? replica.address;
}
