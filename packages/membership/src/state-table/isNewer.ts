import type { Version } from './version.js';

/** Whether version `a` is later than `b`; any version is later than none. */
export function isNewer(a: Version, b: Version | undefined): boolean {
  if (b === undefined) return true;
  return a[0] > b[0] || (a[0] === b[0] && a[1] > b[1]);
}
