import { createHash } from 'node:crypto';

/** The first 48 bits of a text's SHA-256. Stored data depends on it: the same text must give the same number in all versions. */
export function hashOf(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6);
}
