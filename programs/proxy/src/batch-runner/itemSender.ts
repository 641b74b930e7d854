import type { LeaseOffer } from '@pewterlanding/agent';
import type { ItemTask } from '@pewterlanding/store';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import type { EventText } from '../streaming/eventText.js';
import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';
import type { ItemRequests } from './itemRequests.js';
import type { ItemTarget } from './itemTarget.js';
import type { ItemTransport } from './itemTransport.js';

interface ItemSenderOptions {
  readonly transport: ItemTransport;
  readonly requests: ItemRequests;
  /** Aborts what is being sent. */
  readonly halting: AbortSignal;
}

interface Sending {
  readonly item: NonNullable<LeaseOffer['item']>;
  readonly task: ItemTask;
  readonly target: ItemTarget;
  readonly replica: NonNullable<Awaited<ReturnType<ReplicaSelector['enter']>>>;
  /** Gets the events; what earlier runs brought is kept. */
  readonly text: EventText;
}

/** Multiple of the failure timeout: a replica that sends nothing for so long is taken to have lost the item. */
const silenceRatio = 0.6;

/** Sends an opaque item to one replica and collects its events. */
export class ItemSender {
  readonly #options: ItemSenderOptions;

  constructor(options: ItemSenderOptions) {
    this.#options = options;
  }

  async send(sending: Sending): Promise<ItemEnd> {
    const { transport, halting } = this.#options;
    const { replica, text } = sending;
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    halting.addEventListener('abort', stop);
    text.begin();
    try {
      const keep = (id: string | undefined, data: string): void => {
        replica.read();
        if (!text.add(id, data)) stop();
      };
      const end = await transport.run(this.#attempt(sending), keep, abort.signal);
      const isInOrder = !text.wrong && text.last !== undefined;
      if (end.kind === 'done' && !isInOrder) return { kind: 'broken', reason: 'an event is out of order' };
      return end;
    } finally {
      halting.removeEventListener('abort', stop);
    }
  }

  #attempt({ item, task, target, replica, text }: Sending): ItemAttempt {
    const { configuration, route, service } = target;
    const { key, address, instance } = replica;
    const failureTimeoutMs = configuration.bounds.replicaFailureTimeoutMs * silenceRatio;
    return {
      key,
      address,
      instance,
      task: item.id,
      method: 'POST',
      path: task.path,
      headers: this.#options.requests.headers({ item, task, route, instance, resumeAfter: text.last }),
      body: task.body,
      expiryMs: configuration.services[service]?.runMs ?? failureTimeoutMs,
      failureTimeoutMs,
    };
  }
}
