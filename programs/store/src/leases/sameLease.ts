import type { Lease } from './lease.js';

export function sameLease(a: Lease | undefined, b: Lease): boolean {
  return a !== undefined && a.term === b.term && a.number === b.number;
}
