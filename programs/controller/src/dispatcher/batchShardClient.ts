import type { LeaderFinder } from '@pewterlanding/consensus';
import type { ItemRef, BatchCommand, BatchReturn } from '@pewterlanding/store';
import { storeCalls } from '@pewterlanding/store';

/** Calls the leaders of the batch shards. Each command gets an id of its own, so that a retry is applied once. */
export class BatchShardClient {
  readonly #finder: LeaderFinder;
  readonly #idPrefix: string;
  readonly #timeoutMs: number;
  #commands = 0;

  /** `idPrefix` is unique to the caller: its node and the term it acts under. */
  constructor(finder: LeaderFinder, idPrefix: string, timeoutMs: number) {
    this.#finder = finder;
    this.#idPrefix = idPrefix;
    this.#timeoutMs = timeoutMs;
  }

  /** Has a command committed by the shard's group; rejects when no leader answers in time. */
  change(shard: string, command: BatchCommand): Promise<BatchReturn> {
    this.#commands += 1;
    return this.#finder.ask(shard, storeCalls.change, { shard, id: `${this.#idPrefix}/${this.#commands}`, command }, this.#timeoutMs);
  }

  /** Up to `limit` queued items of each quota, the open leases and the queue lengths of a shard. */
  queued(shard: string, limit: number, timeoutMs = this.#timeoutMs) {
    return this.#finder.ask(shard, storeCalls.queued, { shard, limit }, Math.min(timeoutMs, this.#timeoutMs));
  }

  /** The stored inputs of items, in the order of `refs`. */
  inputs(shard: string, refs: ItemRef[]) {
    return this.#finder.ask(shard, storeCalls.inputs, { shard, places: [...refs] }, this.#timeoutMs);
  }
}
