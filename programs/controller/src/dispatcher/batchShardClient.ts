import type { LeaderFinder } from '@pewterlanding/consensus';
import type { ItemRef, BatchCommand, BatchReturn } from '@pewterlanding/store';
import { storeCalls } from '@pewterlanding/store';

/** The dispatcher's way to the shards of lots; gives each command an id of its own. */
export class BatchShardClient {
  readonly #finder: LeaderFinder;
  readonly #prefix: string;
  readonly #waitMs: number;
  #count = 0;

  constructor(finder: LeaderFinder, prefix: string, waitMs: number) {
    this.#finder = finder;
    this.#prefix = prefix;
    this.#waitMs = waitMs;
  }

  change(shard: string, command: BatchCommand): Promise<BatchReturn> {
    this.#count += 1;
    return this.#finder.ask(shard, storeCalls.change, { shard, id: `${this.#prefix}/${this.#count}`, command }, this.#waitMs);
  }

  queued(shard: string, limit: number, waitMs = this.#waitMs) {
    return this.#finder.ask(shard, storeCalls.queued, { shard, limit }, Math.min(waitMs, this.#waitMs));
  }

  inputs(shard: string, places: ItemRef[]) {
    return this.#finder.ask(shard, storeCalls.inputs, { shard, places: [...places] }, this.#waitMs);
  }
}
