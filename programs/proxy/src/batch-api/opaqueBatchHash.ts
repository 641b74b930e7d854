import { createHash } from 'node:crypto';
import type { OpaqueBatch } from './opaqueBatch.js';

/** A hash of all that was submitted, which distinguishes a repeat from another batch under the same id. Stored with the batch. */
export function opaqueBatchHash(batch: OpaqueBatch): string {
  const hash = createHash('sha256').update(batch.route);
  for (const { id, tokens, path, headers, body } of batch.items) {
    hash.update(JSON.stringify([id, tokens, path, Object.entries(headers), body.length]));
    hash.update(body);
  }
  return hash.digest('hex');
}
