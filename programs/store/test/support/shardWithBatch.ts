import * as v from 'valibot';
import { BatchCommand, BatchShard } from '../../src/index.js';

interface ShardWithBatch {
  readonly shard: BatchShard;
  readonly run: (raw: unknown) => ReturnType<BatchShard['apply']>;
}

/** A shard with one batch of three items, submitted at 1000. */
export function shardWithBatch(idempotent: boolean): ShardWithBatch {
  const shard = new BatchShard();
  const run = (raw: unknown): ReturnType<BatchShard['apply']> => shard.apply(v.parse(BatchCommand, raw));
  const items = ['a', 'b', 'c'].map((id) => ({ id, input: '"x"', state: 'QUEUED', queuedAtMs: 1000, notBeforeMs: 0, attempts: 0 }));
  run({
    kind: 'submit',
    batch: {
      id: 'l',
      quota: 'north',
      service: 'tag',
      bodyHash: 'h',
      idempotent,
      createdMs: 1000,
      outputTokens: 10,
      bytesPerToken: 4,
      items,
    },
  });
  return { shard, run };
}
