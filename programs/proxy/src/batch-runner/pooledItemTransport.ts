import type { Clock } from '@pewterlanding/runtime';
import type { ConnectionPool } from '../connections/connectionPool.js';
import type { HeaderNames } from '../headers/headerNames.js';
import type { ItemAttempt } from './itemAttempt.js';
import type { ItemEnd } from './itemEnd.js';
import { ItemExchange } from './itemExchange.js';
import type { ItemTransport } from './itemTransport.js';

interface PooledItemTransportOptions {
  readonly clock: Clock;
  readonly connections: ConnectionPool;
  readonly headerNames: HeaderNames;
}

/**
 * Sends opaque items over the connections that live tasks use. A connection whose response was wrong or aborted is destroyed and
 * never used again.
 */
export class PooledItemTransport implements ItemTransport {
  readonly #options: PooledItemTransportOptions;

  constructor(options: PooledItemTransportOptions) {
    this.#options = options;
  }

  run(attempt: ItemAttempt, event: (id: string | undefined, data: string) => void, abort: AbortSignal): Promise<ItemEnd> {
    if (abort.aborted) return Promise.resolve({ kind: 'unsent' });
    return new Promise((resolve) => {
      new ItemExchange({ ...this.#options, attempt, event, abort, resolve }).send();
    });
  }
}
