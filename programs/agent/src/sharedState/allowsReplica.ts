import { addressParts } from '@pewterlanding/model';
import type { Service } from '@pewterlanding/model';
import type { Replica } from './replica.js';

/** Whether the configuration allows a replica on this host with so many slots. */
export function allowsReplica(rule: Service, replica: Replica): boolean {
  const { hosts, maxSlots } = rule.replicas;
  return replica.slots <= maxSlots && (hosts === undefined || hosts.includes(addressParts(replica.address).host));
}
