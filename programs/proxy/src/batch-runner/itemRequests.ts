import type { LeaseOffer } from '@pewterlanding/agent';
import type { Route } from '@pewterlanding/model';
import type { Clock } from '@pewterlanding/runtime';
import type { ItemTask } from '@pewterlanding/store';
import type { HeaderNames } from '../headers/headerNames.js';
import { selectionRequestOf } from '../selection/selectionRequestOf.js';
import type { ItemTarget } from './itemTarget.js';

interface ItemRequestsOptions {
  readonly clock: Clock;
  readonly headerNames: HeaderNames;
}

type Item = NonNullable<LeaseOffer['item']>;

interface HeadersOptions {
  readonly item: Item;
  readonly task: ItemTask;
  readonly route: Route;
  /** The instance of the replica that is meant, where it has one. */
  readonly instance: string | undefined;
  /** Id of the last event that an earlier run brought. */
  readonly resumeAfter: number | undefined;
}

/** Replicas too run live tasks before batch items; an item that is nearly due runs before other items. 0 runs first. */
const urgencies = { usual: 7, nearlyDue: 4 };
const nearlyDueRatio = 1 / 3;
/** Headers that belong to one connection, or that the HTTP client writes itself. */
const connectionHeaders = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'te',
  'trailer',
  'host',
  'expect',
]);

/** What is asked for an item: of the replica selector, and of the replica. */
export class ItemRequests {
  readonly #options: ItemRequestsOptions;

  constructor(options: ItemRequestsOptions) {
    this.#options = options;
  }

  /** Without a task, whose headers come with the item's start, only the item's cost is known. */
  selection(offer: LeaseOffer, item: Item, { route, service }: ItemTarget, task: ItemTask | undefined) {
    const headers = task === undefined ? [] : Object.entries(task.headers).flat();
    const request = selectionRequestOf(this.#options.headerNames, headers, service, this.#urgency(item, route));
    const outputTokens = task === undefined ? offer.tokens : request.outputTokens;
    return { ...request, outputTokens, kind: 'batch' as const, dueAtMs: item.dueAtMs };
  }

  /** The headers of the request to the replica, names in lower case. */
  headers({ item, task, route, instance, resumeAfter }: HeadersOptions): Record<string, string> {
    const { headerNames } = this.#options;
    const own: Record<string, string> = {
      host: item.host,
      [headerNames.task]: item.id,
      [headerNames.urgency]: String(this.#urgency(item, route)),
    };
    if (instance !== undefined) own[headerNames.instance] = instance;
    if (resumeAfter !== undefined) own[headerNames.resumeAfter] = String(resumeAfter);
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(task.headers)) {
      const lower = name.toLowerCase();
      if (!connectionHeaders.has(lower) && own[lower] === undefined) headers[lower] = value;
    }
    return { ...headers, ...own };
  }

  #urgency(item: Item, { batch }: Route): number {
    const leftMs = item.dueAtMs - this.#options.clock.wallMs();
    const isNearlyDue = batch?.dueMs !== undefined && leftMs < batch.dueMs * nearlyDueRatio;
    return isNearlyDue ? urgencies.nearlyDue : urgencies.usual;
  }
}
