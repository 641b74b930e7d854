import { isFields } from '../schema/index.js';

/**
 * The JSON Merge Patch (RFC 7396) that turns `before` into `after`; undefined where there is none, since a patch cannot set a field to
 * null.
 */
export function mergePatchBetween(before: unknown, after: unknown): unknown {
  if (!isFields(before) || !isFields(after)) return withoutNulls(after);
  const patch = new Map<string, unknown>();
  for (const [key, value] of Object.entries(before)) if (value !== undefined && after[key] === undefined) patch.set(key, null);
  for (const [key, value] of Object.entries(after)) {
    const previous = before[key];
    if (value === undefined || previous === value) continue;
    // Objects are not compared as text first: on each level of a large document that would go through all of it again.
    const bothObjects = isFields(previous) && isFields(value);
    if (!bothObjects && JSON.stringify(previous) === JSON.stringify(value)) continue;
    const change = mergePatchBetween(previous, value);
    if (change === undefined) return undefined;
    if (!bothObjects || (isFields(change) && Object.keys(change).length > 0)) patch.set(key, change);
  }
  return Object.fromEntries(patch);
}

/** The patch for a value that replaces another; undefined where it holds a null, which a patch takes for a removal. */
function withoutNulls(after: unknown): unknown {
  if (after === null) return undefined;
  return isFields(after) ? mergePatchBetween({}, after) : after;
}
