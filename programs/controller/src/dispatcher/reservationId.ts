import { leaseKey } from '@pewterlanding/store';
import type { OpenLease } from '@pewterlanding/store';

/** The name of a lease's reservation in the quota counter: its batch, the position in it, and the lease. */
export function reservationId({ ref, lease }: Pick<OpenLease, 'ref' | 'lease'>): string {
  return `${ref.batch} ${ref.position} ${leaseKey(lease)}`;
}
