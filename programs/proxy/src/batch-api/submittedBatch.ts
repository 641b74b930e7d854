import type { BatchId, Finding } from '@pewterlanding/model';

/** The outcome of a submission by the product's own interface: stored durably, or rejected with an HTTP status. */
export type SubmittedBatch =
  | { readonly kind: 'accepted'; readonly batch: BatchId }
  | {
      readonly kind: 'rejected';
      readonly status: 403 | 404 | 409 | 413 | 422 | 503;
      readonly reason: string;
      readonly findings?: readonly Finding[];
    };
