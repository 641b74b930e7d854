import { createHash } from 'node:crypto';

/** A stable 48-bit number for a text, for places on rings and for choosing parts. */
export function hashOf(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6);
}
