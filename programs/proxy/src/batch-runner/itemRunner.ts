import type { LeaseOffer } from '@pewterlanding/agent';
import { ItemRequests } from './itemRequests.js';
import { ItemRun } from './itemRun.js';
import type { ItemRunnerOptions } from './itemRunnerOptions.js';
import { ItemSender } from './itemSender.js';

/** Runs leased opaque items, each at as many replicas as needed: start at the shard's leader, send, collect its events, close. */
export class ItemRunner {
  readonly #options: ItemRunnerOptions;
  readonly #requests: ItemRequests;
  readonly #sender: ItemSender;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
    this.#requests = new ItemRequests(options);
    this.#sender = new ItemSender({ ...options, requests: this.#requests });
  }

  /** Resolves when the item is closed or its lease returned; rejects when its close could not be written. */
  run(offer: LeaseOffer, item: NonNullable<LeaseOffer['item']>): Promise<void> {
    return new ItemRun({ ...this.#options, offer, item, requests: this.#requests, sender: this.#sender }).run();
  }
}
