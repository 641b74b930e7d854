import * as v from 'valibot';
import { BranchName, ItemId, LotId, NodeName, ServiceName } from '@pewterlanding/runtime';
import { LotShard } from '@pewterlanding/store';
import type { LotCommand, LotRecord, LotReturn } from '@pewterlanding/store';
import type { StoredFormat } from './storedFormat.js';
import { storedWords } from './storedWords.js';

/** The stored form of one shard of batches; what is written later is a batch of one item, run to its end. */
export function storedBatches(shard: string): StoredFormat<LotCommand, LotReturn, LotShard> {
  const lease = { epoch: 9, number: 1, front: v.parse(NodeName, 'front-1') };
  const id = v.parse(LotId, 'later');
  const ref = { lot: id, place: 0 };
  const lot: LotRecord = {
    id,
    branch: v.parse(BranchName, 'north'),
    service: v.parse(ServiceName, 'ask'),
    bodyHash: 'h',
    repeatable: true,
    createdMs: 1,
    outputTokens: 1,
    bytesPerToken: 4,
    items: [{ id: v.parse(ItemId, 'later/0'), input: 'later', state: 'QUEUED', queuedAtMs: 1, notBeforeMs: 0, tries: 0 }],
  };
  return {
    of: 'store',
    shard,
    make: () => new LotShard(),
    state: storedWords.batchesState,
    returned: storedWords.lotReturned,
    later: {
      'later-hand': { t: 'hand', lot },
      'later-claim': { t: 'claim', epoch: 9, claims: [{ ref, lease }] },
      'later-start': { t: 'start', ref, lease },
      'later-close': { t: 'close', ref, lease, state: 'COMPLETED', result: 'a later answer' },
    },
  };
}
