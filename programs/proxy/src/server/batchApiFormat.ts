import type { BatchView } from '@pewterlanding/store';
import type { BatchService } from '../batch-api/index.js';

type ResultsPage = NonNullable<Awaited<ReturnType<BatchService['results']>>>;

/** One form of the batch API: its path and the names of its fields. */
export interface BatchApiFormat {
  readonly path: string;
  /** The query parameter that limits the results on a page. */
  readonly limitParameter: 'limit' | 'most';
  readonly batch: (view: BatchView) => unknown;
  /** Field order is part of the response's bytes. */
  readonly page: (page: ResultsPage) => unknown;
}
