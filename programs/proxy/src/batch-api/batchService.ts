import type { BatchId, ItemId } from '@pewterlanding/model';
import type { BatchOutcomes, BatchView } from '@pewterlanding/store';
import type { BatchBody } from './batchBody.js';
import { BatchReads } from './batchReads.js';
import type { BatchServiceOptions } from './batchServiceOptions.js';
import { BatchShards } from './batchShards.js';
import { BatchSubmission } from './batchSubmission.js';
import type { OpaqueBatch } from './opaqueBatch.js';
import { OpaqueSubmission } from './opaqueSubmission.js';
import type { SubmittedBatch } from './submittedBatch.js';
import type { SubmittedOpaque } from './submittedOpaque.js';

/** Submits, reads and ends batches. Any proxy serves any batch: the state is at the leaders of the batch shards. */
export class BatchService {
  readonly #submission: BatchSubmission;
  readonly #opaqueSubmission: OpaqueSubmission;
  readonly #reads: BatchReads;

  constructor(options: BatchServiceOptions) {
    const shards = new BatchShards(options);
    this.#reads = new BatchReads({ ...options, shards });
    this.#submission = new BatchSubmission({ ...options, shards, read: (batch) => this.#reads.read(batch) });
    this.#opaqueSubmission = new OpaqueSubmission({ ...options, shards });
  }

  /** See BatchSubmission.submit. */
  submit(quota: string | undefined, key: string, body: BatchBody): Promise<SubmittedBatch> {
    return this.#submission.submit(quota, key, body);
  }

  /** See OpaqueSubmission.submit. */
  submitOpaque(batch: OpaqueBatch, waitMs: number): Promise<SubmittedOpaque> {
    return this.#opaqueSubmission.submit(batch, waitMs);
  }

  /** See BatchReads.read. */
  read(batch: BatchId): Promise<BatchView | undefined> {
    return this.#reads.read(batch);
  }

  /** See BatchReads.results. */
  results(batch: BatchId, after: number, limit: number) {
    return this.#reads.results(batch, after, limit);
  }

  /** See BatchReads.end. */
  end(batch: BatchId): Promise<boolean> {
    return this.#reads.end(batch);
  }

  /** See BatchReads.outcomes. */
  outcomes(batch: BatchId, host: string, after: number, holdMs: number, waitMs: number): Promise<BatchOutcomes | undefined | 'silent'> {
    return this.#reads.outcomes(batch, host, after, holdMs, waitMs);
  }

  /** See BatchReads.itemBody. */
  itemBody(batch: BatchId, host: string, item: ItemId, waitMs: number): Promise<Uint8Array | undefined | 'silent'> {
    return this.#reads.itemBody(batch, host, item, waitMs);
  }

  /** See BatchReads.endOpaque. */
  endOpaque(batch: BatchId, host: string, waitMs: number): Promise<boolean | 'silent'> {
    return this.#reads.endOpaque(batch, host, waitMs);
  }
}
