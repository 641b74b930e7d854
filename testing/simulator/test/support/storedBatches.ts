import * as v from 'valibot';
import { QuotaName, ItemId, BatchId, NodeName, ServiceName } from '@pewterlanding/model';
import { BatchShard } from '@pewterlanding/store';
import type { BatchCommand, BatchRecord, BatchReturn } from '@pewterlanding/store';
import type { StoredFormat } from './storedFormat.js';
import { storedWords } from './storedWords.js';

/** The stored form of one shard of batches; what is written later is a batch of one item, run to its end. */
export function storedBatches(shard: string): StoredFormat<BatchCommand, BatchReturn, BatchShard> {
  const lease = { term: 9, number: 1, front: v.parse(NodeName, 'front-1') };
  const id = v.parse(BatchId, 'later');
  const ref = { batch: id, position: 0 };
  const batch: BatchRecord = {
    id,
    quota: v.parse(QuotaName, 'north'),
    service: v.parse(ServiceName, 'ask'),
    bodyHash: 'h',
    idempotent: true,
    createdMs: 1,
    outputTokens: 1,
    bytesPerToken: 4,
    items: [{ id: v.parse(ItemId, 'later/0'), input: 'later', state: 'QUEUED', queuedAtMs: 1, notBeforeMs: 0, attempts: 0 }],
  };
  return {
    of: 'store',
    shard,
    make: () => new BatchShard(),
    state: storedWords.batchesState,
    returned: storedWords.batchReturned,
    later: {
      'later-hand': { kind: 'submit', batch },
      'later-claim': { kind: 'claim', term: 9, claims: [{ ref, lease }] },
      'later-start': { kind: 'start', ref, lease },
      'later-close': { kind: 'close', ref, lease, state: 'COMPLETED', result: 'a later answer' },
    },
  };
}
