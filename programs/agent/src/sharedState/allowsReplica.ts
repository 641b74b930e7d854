import { addressParts } from '@pewterlanding/model';
import type { Service } from '@pewterlanding/model';
import type { Replica } from './replica.js';

/** Whether operators let a replica of this host and size serve. */
export function allowsReplica(rule: Service, replica: Replica): boolean {
  const { hosts, maxSlots } = rule.replicas;
  return replica.slots <= maxSlots && (hosts === undefined || hosts.includes(addressParts(replica.address).host));
}
