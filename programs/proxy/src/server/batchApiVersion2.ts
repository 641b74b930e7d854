import type { BatchApiFormat } from './batchApiFormat.js';
import { outputOf } from './outputOf.js';

/** The batch API under its current names: batch, quota, position, limit. */
export const batchApiVersion2: BatchApiFormat = {
  path: '/v1/batches',
  limitParameter: 'limit',
  batch: (view) => view,
  page: ({ batch, results, next, done }) => ({
    batch,
    results: results.map(({ id, position, state, result }) => ({ id, position, state, output: outputOf(result) })),
    next,
    done,
  }),
};
