import { createHash } from 'node:crypto';
import { QuotaName, check } from '@pewterlanding/model';
import type { BatchId, Service } from '@pewterlanding/model';
import type { BatchRecord, BatchView } from '@pewterlanding/store';
import type { BatchBody } from './batchBody.js';
import { batchIdOf } from './batchIdOf.js';
import type { BatchServiceOptions } from './batchServiceOptions.js';
import type { BatchShards } from './batchShards.js';
import { submissionRejection } from './submissionRejection.js';
import type { SubmittedBatch } from './submittedBatch.js';

interface BatchSubmissionOptions extends BatchServiceOptions {
  readonly shards: BatchShards;
  readonly read: (batch: BatchId) => Promise<BatchView | undefined>;
}

/** Submissions by the product's own interface: the caller names a quota and an idempotency key. */
export class BatchSubmission {
  readonly #options: BatchSubmissionOptions;

  constructor(options: BatchSubmissionOptions) {
    this.#options = options;
  }

  /**
   * Resolves as accepted only once the batch is durable. The key determines the batch's id, so a repeat finds the same batch. A
   * submission that the current configuration rejects may have been accepted under an earlier one, its response lost on the way:
   * then it is still accepted. Rejects when the outcome is not known.
   */
  async submit(quotaText: string | undefined, key: string, body: BatchBody): Promise<SubmittedBatch> {
    const { routingState, shards, waitMs } = this.#options;
    const { configuration } = routingState.tables;
    if (configuration === undefined || !routingState.isFresh()) return { kind: 'rejected', status: 503, reason: 'this front is not ready' };
    const quota = check(QuotaName, quotaText);
    if (!quota.ok) return { kind: 'rejected', status: 403, reason: 'no such quota' };
    const id = batchIdOf(quota.value, key);
    const bodyHash = createHash('sha256').update(JSON.stringify(body)).digest('hex');
    const service = configuration.services[body.service];
    const rejection = submissionRejection(configuration, routingState, quota.value, body);
    if (rejection !== undefined || service === undefined) {
      const earlier = await this.#options.read(id);
      if (earlier?.bodyHash === bodyHash) return { kind: 'accepted', batch: id };
      return rejection ?? { kind: 'rejected', status: 404, reason: 'no such service' };
    }
    const batch = this.#record(id, quota.value, bodyHash, body, service);
    const response = await shards.change(shards.shardOf(id), { kind: 'submit', batch }, waitMs);
    if (response.reason === 'different') return { kind: 'rejected', status: 409, reason: 'this key was used for another batch' };
    return { kind: 'accepted', batch: id };
  }

  #record(id: BatchId, quota: QuotaName, bodyHash: string, body: BatchBody, service: Service): BatchRecord {
    const { clock, routingState } = this.#options;
    const nowMs = clock.wallMs();
    return {
      id,
      quota,
      service: body.service,
      bodyHash,
      idempotent: service.idempotent,
      createdMs: nowMs,
      outputTokens: routingState.tables.outputTokens.get(body.service) ?? service.outputTokens,
      bytesPerToken: service.bytesPerToken,
      items: body.items.map((item) => ({
        id: item.id,
        input: JSON.stringify(item.input),
        state: 'QUEUED',
        queuedAtMs: nowMs,
        notBeforeMs: 0,
        attempts: 0,
      })),
    };
  }
}
