import type { Lease } from './lease.js';

/** A lease as `term.number`, unique over all dispatchers; the front is not part of it. */
export function leaseKey(lease: Lease): string {
  return `${lease.term}.${lease.number}`;
}
