import { shardOf } from '@pewterlanding/model';
import { storeCalls } from '@pewterlanding/store';
import type { BatchCommand, BatchReturn } from '@pewterlanding/store';
import type { BatchServiceOptions } from './batchServiceOptions.js';
import { ConfigurationMissingError } from './configurationMissingError.js';

/** Finds the shard that stores a batch and sends commands to its leader. */
export class BatchShards {
  readonly #options: BatchServiceOptions;
  #commands = 0;

  constructor(options: BatchServiceOptions) {
    this.#options = options;
  }

  /**
   * The shard of a key: the batch's id for the product's own batches, the host for opaque ones. All batches of a host are stored in
   * one shard, so that the tokens waiting on a route are counted exactly, and any proxy finds a batch by its host alone.
   * Throws ConfigurationMissingError: without a configuration it must not be said that a batch does not exist.
   */
  shardOf(key: string): string {
    const { configuration } = this.#options.routingState.tables;
    if (configuration === undefined) throw new ConfigurationMissingError();
    return shardOf('lots', key, configuration.batchShards);
  }

  /** Applies a command at the shard's leader. Rejects when its outcome is not known within `waitMs`. */
  change(shard: string, command: BatchCommand, waitMs: number): Promise<BatchReturn> {
    const id = this.nextCommandId();
    return this.#options.finder.ask(shard, storeCalls.change, { shard, id, command }, waitMs);
  }

  /** Unique over all proxies and starts: a command that is sent again under its id is applied once. */
  nextCommandId(): string {
    this.#commands += 1;
    return `${this.#options.front}/${this.#options.instance}/desk/${this.#commands}`;
  }
}
