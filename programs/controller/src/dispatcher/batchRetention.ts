import type { Configuration } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { BatchShardClient } from './batchShardClient.js';

/** Expired batches are removed so often, as a part of the time for which they are kept. */
const periodRatio = 0.02;

/** Has finished batches removed once they were kept for the configured time. */
export class BatchRetention {
  readonly #clock: Clock;
  readonly #batches: BatchShardClient;
  #lastRemovalMs: number;

  constructor(clock: Clock, batches: BatchShardClient) {
    this.#clock = clock;
    this.#batches = batches;
    this.#lastRemovalMs = clock.nowMs();
  }

  /** Does nothing until the next removal is due. A shard that does not answer is asked again then. */
  async removeExpired(shards: readonly string[], configuration: Configuration): Promise<void> {
    const { batchKeepMs } = configuration.bounds;
    if (this.#clock.nowMs() - this.#lastRemovalMs < batchKeepMs * periodRatio) return;
    this.#lastRemovalMs = this.#clock.nowMs();
    const beforeMs = this.#clock.wallMs() - batchKeepMs;
    await Promise.all(shards.map((shard) => this.#batches.change(shard, { kind: 'forget', beforeMs }).catch(() => undefined)));
  }
}
