import type { Counter } from '@pewterlanding/rate-limit';
import type { Counters } from '@pewterlanding/runtime';
import type { BatchShardClient } from './batchShardClient.js';
import { reservationId } from './reservationId.js';
import type { ShardView } from './shardView.js';

interface BatchShardReaderOptions {
  readonly term: number;
  readonly batches: BatchShardClient;
  readonly counters: Counters;
  readonly counter: () => Counter | undefined;
}

/** Reads the batch shards under one term. A shard is fenced first: from then on it refuses the claims of earlier terms. */
export class BatchShardReader {
  readonly #options: BatchShardReaderOptions;
  readonly #fenced = new Set<string>();

  constructor(options: BatchShardReaderOptions) {
    this.#options = options;
  }

  /** Undefined when the shard does not answer in time, or a later term has fenced it. */
  async read(shard: string, limit: number, timeoutMs: number): Promise<ShardView | undefined> {
    const { batches, term, counters, counter } = this.#options;
    try {
      if (!this.#fenced.has(shard)) {
        const response = await batches.change(shard, { kind: 'fence', term });
        if (!response.done) return undefined;
      }
      const view = await batches.queued(shard, limit, timeoutMs);
      if (!this.#fenced.has(shard)) {
        // Leases of earlier terms are in flight: their cost is charged here, since this counter has not reserved it.
        for (const open of view.open) counter()?.charge(reservationId(open), open.quota, { requests: 1, tokens: open.tokens });
        this.#fenced.add(shard);
      }
      return { shard, ...view };
    } catch {
      counters.add('dispatch.partUnseen');
      return undefined;
    }
  }
}
