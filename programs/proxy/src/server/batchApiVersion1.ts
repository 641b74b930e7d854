import type { BatchView } from '@pewterlanding/store';
import type { BatchApiFormat } from './batchApiFormat.js';
import { outputOf } from './outputOf.js';

/** The batch API under its old names, answered for one version more: lot, branch, place, most. */
export const batchApiVersion1: BatchApiFormat = {
  path: '/v1/lots',
  limitParameter: 'most',
  batch: lotOf,
  page: ({ batch, results, next, done }) => ({
    lot: lotOf(batch),
    results: results.map(({ id, position, state, result }) => ({ id, place: position, state, output: outputOf(result) })),
    next,
    done,
  }),
};

function lotOf({ quota, ...view }: BatchView) {
  return { ...view, branch: quota };
}
