import type { Version } from './version.js';

/** True when `a` comes after `b`; anything comes after nothing. */
export function isNewer(a: Version, b: Version | undefined): boolean {
  if (b === undefined) return true;
  return a[0] > b[0] || (a[0] === b[0] && a[1] > b[1]);
}
