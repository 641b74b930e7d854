import type { Lease } from './lease.js';

/** Whether two leases are the same, by term and number. */
export function sameLease(a: Lease | undefined, b: Lease): boolean {
  return a !== undefined && a.term === b.term && a.number === b.number;
}
