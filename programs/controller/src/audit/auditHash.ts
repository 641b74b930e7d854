import { createHash } from 'node:crypto';

/** SHA-256 in hex; of nothing for the entry that has none before it. */
export function auditHash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
