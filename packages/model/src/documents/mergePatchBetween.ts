import { isFields } from '../schema/isFields.js';

/** The merge patch that makes `after` of `before`; undefined where none can, for a patch cannot say null. */
export function mergePatchBetween(before: unknown, after: unknown): unknown {
  if (!isFields(before) || !isFields(after)) return plain(after);
  const patch = new Map<string, unknown>();
  for (const [key, value] of Object.entries(before)) if (value !== undefined && after[key] === undefined) patch.set(key, null);
  for (const [key, value] of Object.entries(after)) {
    const held = before[key];
    if (value === undefined || held === value) continue;
    // Large documents are gone through once: fields are compared by what their patch would hold.
    const both = isFields(held) && isFields(value);
    if (!both && JSON.stringify(held) === JSON.stringify(value)) continue;
    const change = mergePatchBetween(held, value);
    if (change === undefined) return undefined;
    if (!both || (isFields(change) && Object.keys(change).length > 0)) patch.set(key, change);
  }
  return Object.fromEntries(patch);
}

/** What takes the place of something else; a null among its fields would be lost on the way. */
function plain(after: unknown): unknown {
  if (after === null) return undefined;
  return isFields(after) ? mergePatchBetween({}, after) : after;
}
