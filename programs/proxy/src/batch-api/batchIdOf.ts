import { createHash } from 'node:crypto';
import { BatchId, check } from '@pewterlanding/model';
import type { QuotaName } from '@pewterlanding/model';
import { GeneratedIdError } from './generatedIdError.js';

/** The id of the batch under a quota and an idempotency key: the same pair always gives the same id. */
export function batchIdOf(quota: QuotaName, key: string): BatchId {
  const hash = createHash('sha256').update(`${quota}\u0000${key}`).digest('hex');
  const id = check(BatchId, `lot_${hash.slice(0, 32)}`);
  if (!id.ok) throw new GeneratedIdError('batch');
  return id.value;
}
