import type { BatchId, ItemId } from '@pewterlanding/model';
import { storeCalls } from '@pewterlanding/store';
import type { BatchCommand, BatchOutcomes, BatchView } from '@pewterlanding/store';
import type { BatchServiceOptions } from './batchServiceOptions.js';
import type { BatchShards } from './batchShards.js';

interface BatchReadsOptions extends BatchServiceOptions {
  readonly shards: BatchShards;
}

/** Limit on the outcomes in one response to a downstream. */
const maxOutcomeBytes = 1_000_000;

/** Reads batches at the leaders of their shards, and ends them. */
export class BatchReads {
  readonly #options: BatchReadsOptions;

  constructor(options: BatchReadsOptions) {
    this.#options = options;
  }

  /** Undefined when there is no such batch. Rejects when its shard's leader cannot be reached. */
  async read(batch: BatchId): Promise<BatchView | undefined> {
    const { finder, shards, waitMs } = this.#options;
    const shard = shards.shardOf(batch);
    return finder.ask(shard, storeCalls.batch, { shard, batch }, waitMs);
  }

  /** One page of results, from a cursor on. Rejects when the shard's leader cannot be reached. */
  async results(batch: BatchId, after: number, limit: number) {
    const { finder, shards, waitMs } = this.#options;
    const shard = shards.shardOf(batch);
    return finder.ask(shard, storeCalls.results, { shard, batch, after, limit }, waitMs);
  }

  /** False when there is no such batch. Rejects when the shard's leader cannot be reached. */
  async end(batch: BatchId): Promise<boolean> {
    const { shards, clock, waitMs } = this.#options;
    const command: BatchCommand = { kind: 'end', batch, atMs: clock.wallMs() };
    const response = await shards.change(shards.shardOf(batch), command, waitMs);
    return response.done;
  }

  /**
   * Outcomes of an opaque batch from a position on. The leader holds the call for up to `holdMs` until there is one. Undefined when
   * there is surely no such batch, 'silent' when no leader could be reached.
   */
  outcomes(batch: BatchId, host: string, after: number, holdMs: number, waitMs: number): Promise<BatchOutcomes | undefined | 'silent'> {
    const { clock, finder } = this.#options;
    const ask = (shard: string, heldMs: number, timeoutMs: number) => {
      const body = { shard, batch, host, after, maxBytes: maxOutcomeBytes, holdMs: heldMs };
      return finder.ask(shard, storeCalls.outcomes, body, timeoutMs, heldMs);
    };
    return this.#unlessSilent(host, async (shard) => {
      const untilMs = clock.nowMs() + waitMs + holdMs;
      try {
        return await ask(shard, Math.floor(holdMs), holdMs + waitMs / 2);
      } catch {
        // After a leader was lost while it held the call, the next one is asked without a hold.
        return ask(shard, 0, Math.max(1, untilMs - clock.nowMs()));
      }
    });
  }

  /** The body of an item that is not final yet. Undefined when there is none, 'silent' when no leader could be reached. */
  itemBody(batch: BatchId, host: string, item: ItemId, waitMs: number): Promise<Uint8Array | undefined | 'silent'> {
    const { finder } = this.#options;
    return this.#unlessSilent(host, (shard) => finder.ask(shard, storeCalls.itemBody, { shard, batch, host, item }, waitMs));
  }

  /** False when there is no such batch, 'silent' when no leader could be reached. After an end no item of it starts. */
  endOpaque(batch: BatchId, host: string, waitMs: number): Promise<boolean | 'silent'> {
    const { shards, clock } = this.#options;
    return this.#unlessSilent(host, async (shard) => {
      const command: BatchCommand = { kind: 'end', batch, host, atMs: clock.wallMs() };
      const response = await shards.change(shard, command, waitMs);
      return response.done;
    });
  }

  async #unlessSilent<T>(host: string, ask: (shard: string) => Promise<T>): Promise<T | 'silent'> {
    try {
      return await ask(this.#options.shards.shardOf(host));
    } catch {
      this.#options.counters.add('desk.silent');
      return 'silent';
    }
  }
}
