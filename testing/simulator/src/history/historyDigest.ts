import { createHash } from 'node:crypto';

/**
 * A SHA-256 over a history that stays the same when fields and strings are renamed consistently. It covers the events in order, the
 * number of fields of each object and elements of each array, and the leaves in the order of the keys: numbers and booleans as they
 * are, each distinct string as the index of its first occurrence. The keys themselves are left out.
 */
export function historyDigest(history: readonly object[]): string {
  const hash = createHash('sha256');
  const indices = new Map<string, number>();
  const visit = (value: unknown): void => {
    if (typeof value === 'string') {
      const index = indices.get(value) ?? indices.size;
      indices.set(value, index);
      hash.update(`string ${index}\n`);
    } else if (typeof value === 'object' && value !== null) {
      const children: readonly unknown[] = Object.values(value);
      hash.update(`${Array.isArray(value) ? 'array' : 'object'} ${children.length}\n`);
      for (const child of children) visit(child);
    } else hash.update(`${typeof value} ${String(value)}\n`);
  };
  visit(history);
  return hash.digest('hex');
}
