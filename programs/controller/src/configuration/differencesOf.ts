import type { Difference } from '../audit/difference.js';

type Fields = Readonly<Record<string, unknown>>;

/** Every place where two documents differ, down to single values. */
export function differencesOf(before: unknown, after: unknown, place = ''): Difference[] {
  if (isFields(before) && isFields(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return keys.flatMap((key) => differencesOf(before[key], after[key], place === '' ? key : `${place}.${key}`));
  }
  return JSON.stringify(before) === JSON.stringify(after) ? [] : [{ place, before, after }];
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
