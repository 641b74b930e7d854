import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { BatchRecord } from '../batch/index.js';

/** All that a batch shard replicates; indexes are derived from it. */
export const BatchShardSnapshot = v.strictObject({ term: Count, batches: v.array(BatchRecord) });
export type BatchShardSnapshot = v.InferOutput<typeof BatchShardSnapshot>;
