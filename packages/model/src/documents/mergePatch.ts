import { isFields } from '../schema/index.js';

/** Applies a JSON Merge Patch (RFC 7396): null removes a field, objects merge, any other value replaces. Changes neither argument. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isFields(patch)) return patch;
  const merged = new Map<string, unknown>(isFields(target) ? Object.entries(target) : []);
  for (const [key, value] of Object.entries(patch)) {
    if (value === null) merged.delete(key);
    else merged.set(key, mergePatch(merged.get(key), value));
  }
  return Object.fromEntries(merged);
}
