import type { LeaseOffer } from '@pewterlanding/agent';
import { pause } from '@pewterlanding/runtime';
import type { Address, Route, ServiceName, Configuration } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import type { ItemTask } from '@pewterlanding/store';
import { EventText } from '../streaming/eventText.js';
import type { HeaderNames } from '../forwarding/headerNames.js';
import type { ItemEnd } from './itemEnd.js';
import type { ItemTransport } from './itemTransport.js';
import type { LeaseCalls } from './leaseCalls.js';
import type { RoutingState } from '../updates/routingState.js';
import type { ReplicaSelector } from '../selection/replicaSelector.js';
import { selectionRequestOf } from '../selection/selectionRequestOf.js';

interface ItemRunnerOptions {
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly selector: ReplicaSelector;
  readonly calls: LeaseCalls;
  readonly transport: ItemTransport;
  readonly headerNames: HeaderNames;
  readonly random: () => number;
  readonly counters: Counters;
  /** Nothing starts any more. */
  readonly leaving: AbortSignal;
  /** What runs is given up, to be run elsewhere. */
  readonly halting: AbortSignal;
}

type SelectedReplica = NonNullable<Awaited<ReturnType<ReplicaSelector['enter']>>>;
type Item = NonNullable<LeaseOffer['item']>;

/** Live tasks come before lots at the replica as well; an item that is nearly due comes before other lots. */
const urgencies = { usual: 7, nearlyDue: 4 };
const nearlyDueRatio = 1 / 3;
/** Replicas that one lease tries before the item goes back. */
const maxMoves = 8;
/** Of the silence after which a replica is gone: one that is silent for so long under a task has lost it. */
const silenceRatio = 0.6;
/** Headers that belong to one circuit, or that the wire writes itself. */
const ownHeaders = new Set([
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

/** Runs one leased opaque item, at as many replicas as it takes: start at the shard's leader, send, keep its events, close. */
export class ItemRunner {
  readonly #options: ItemRunnerOptions;

  constructor(options: ItemRunnerOptions) {
    this.#options = options;
  }

  async run(offer: LeaseOffer, item: Item): Promise<void> {
    const { routingState, selector, clock, calls, counters, leaving, halting } = this.#options;
    const text = new EventText();
    const without = new Set<string>();
    let ran = false;
    let task: ItemTask | undefined;
    const back = async (waitMs: number, failed = false): Promise<void> => {
      if (!ran) return calls.giveBack(offer, waitMs);
      await calls.release(offer, { tried: false, failed, waitMs });
      calls.settle(offer, true, offer.tokens, 0);
    };
    for (let move = 0; ; move += 1) {
      // Each run goes by the setup in force when it starts, found by the route's name.
      const { configuration, version } = routingState.tables;
      const route = configuration?.routes[item.route];
      const service = route === undefined ? undefined : this.#service(route);
      const tickMs = configuration?.bounds.tickMs ?? 0;
      const idle = ran ? halting : leaving;
      // The dispatcher gives up what has no route any more; a front may be behind.
      if (
        configuration === undefined ||
        route?.kind !== 'batch' ||
        route.host !== item.host ||
        service === undefined ||
        version < item.version
      )
        return back(tickMs);
      if (idle.aborted || move >= maxMoves || !routingState.isFresh()) return back(tickMs);
      // All have turned it away: what has no text yet goes back at once, and what has some is worth another look.
      const desired = this.#desired(offer, item, service, route, task);
      if (without.size > 0 && !selector.offers({ ...desired, without })) {
        if (text.last === undefined) return back(tickMs);
        without.clear();
      }
      const waitMs = text.last === undefined ? configuration.bounds.staleMs / 4 : configuration.bounds.staleMs;
      const selected = await selector.enter({ ...desired, without }, waitMs, idle);
      // Live traffic took the room.
      if (selected === undefined) return back(tickMs);
      let end: ItemEnd | undefined;
      try {
        const askedMs = clock.nowMs();
        // Also before it goes on elsewhere: after its lot's end nothing may reach a replica any more.
        const begun = await calls.begin(offer, configuration.bounds.startWindowMs).catch(() => undefined);
        if (begun?.response.done === false) {
          counters.add('lot.startRefused');
          return calls.settle(offer, ran, ran ? offer.tokens : 0, 0);
        }
        // By the monotonic clock: what was frozen here in between must not send now.
        if (
          begun?.task === undefined ||
          clock.nowMs() - askedMs > configuration.bounds.startWindowMs ||
          !routingState.isFresh() ||
          idle.aborted
        ) {
          counters.add('lot.windowMissed');
          return await back(tickMs);
        }
        // A setup may have come in between; its prefix may not hold this path any more.
        if (routingState.tables.version !== version) continue;
        if (!begun.task.path.startsWith(route.prefix)) return await this.#abandon(offer, ran);
        task = begun.task;
        // Now that its model is known: the replica may not have it.
        if (!selector.offers({ ...this.#desired(offer, item, service, route, task), without }, selected.key)) continue;
        end = await this.#send({ item, task, route, service, configuration, text, ...selected });
      } finally {
        selected.leave(healthOf(end, halting.aborted));
      }
      counters.add(`lot.${end.kind}`);
      if (end.kind === 'notRun' || end.kind === 'unsent') {
        without.add(selected.key);
        if (text.last !== undefined) await pause(clock, tickMs);
        continue;
      }
      ran = true;
      if (end.kind === 'done') {
        await calls.close(offer, 'COMPLETED', text.text);
        return calls.settle(offer, true, offer.tokens, 0);
      }
      if (end.kind === 'status' && end.status === 422) return this.#abandon(offer, ran);
      if (end.kind === 'status') return back(tickMs * 2, end.status === 500);
      without.clear();
    }
  }

  async #abandon(offer: LeaseOffer, ran: boolean): Promise<void> {
    await this.#options.calls.close(offer, 'FAILED', '');
    this.#options.calls.settle(offer, ran, ran ? offer.tokens : 0, 0);
  }

  async #send(what: {
    readonly item: Item;
    readonly task: ItemTask;
    readonly route: Route;
    readonly service: ServiceName;
    readonly configuration: Configuration;
    readonly key: string;
    readonly address: Address;
    /** The prompt was read. */
    readonly read: () => void;
    readonly instance: string | undefined;
    readonly text: EventText;
  }): Promise<ItemEnd> {
    const { transport, halting } = this.#options;
    const { item, task, route, service, configuration, key, address, instance, read, text } = what;
    const rule = configuration.services[service];
    const failureTimeoutMs = configuration.bounds.replicaFailureTimeoutMs * silenceRatio;
    const over = new AbortController();
    const stop = (): void => over.abort();
    halting.addEventListener('abort', stop);
    text.begin();
    const before = text.last;
    try {
      const end = await transport.run(
        {
          key,
          address,
          instance,
          task: item.id,
          method: 'POST',
          path: task.path,
          headers: this.#headers(item, task, route, instance, before),
          body: task.body,
          expiryMs: rule?.runMs ?? failureTimeoutMs,
          failureTimeoutMs,
        },
        (id, data) => {
          read();
          if (!text.add(id, data)) stop();
        },
        over.signal,
      );
      if (end.kind === 'done' && (text.wrong || text.last === undefined)) return { kind: 'broken', reason: 'an event is out of order' };
      return end;
    } finally {
      halting.removeEventListener('abort', stop);
    }
  }

  #headers(item: Item, task: ItemTask, route: Route, instance: string | undefined, after: number | undefined): Record<string, string> {
    const { headerNames } = this.#options;
    const own: Record<string, string> = {
      host: item.host,
      [headerNames.task]: item.id,
      [headerNames.urgency]: String(this.#urgency(item, route)),
    };
    if (instance !== undefined) own[headerNames.instance] = instance;
    if (after !== undefined) own[headerNames.resumeAfter] = String(after);
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(task.headers)) {
      const lower = name.toLowerCase();
      if (!ownHeaders.has(lower) && own[lower] === undefined) headers[lower] = value;
    }
    return { ...headers, ...own };
  }

  #urgency(item: Item, route: Route): number {
    const leftMs = item.dueAtMs - this.#options.clock.wallMs();
    return route.batch?.dueMs !== undefined && leftMs < route.batch.dueMs * nearlyDueRatio ? urgencies.nearlyDue : urgencies.usual;
  }

  /** An item's headers come with its start; until then only its cost is known. */
  #desired(offer: LeaseOffer, item: Item, service: ServiceName, route: Route, task: ItemTask | undefined) {
    const headers = task === undefined ? [] : Object.entries(task.headers).flat();
    const selectionRequest = selectionRequestOf(this.#options.headerNames, headers, service, this.#urgency(item, route));
    const outputTokens = task === undefined ? offer.tokens : selectionRequest.outputTokens;
    return { ...selectionRequest, outputTokens, kind: 'batch' as const, dueAtMs: item.dueAtMs };
  }

  /** By gain, as the setup splits the route. */
  #service({ services }: Route): ServiceName | undefined {
    const whole = services.reduce((sum, { weight }) => sum + weight, 0);
    let at = this.#options.random() * whole;
    for (const { service, weight } of services) {
      at -= weight;
      if (weight > 0 && at < 0) return service;
    }
    return services.findLast(({ weight }) => weight > 0)?.service;
  }
}

/** What an item's end tells of its replica. */
function healthOf(end: ItemEnd | undefined, halted: boolean): Parameters<SelectedReplica['leave']>[0] {
  if (end === undefined) return 'unknown';
  if (end.kind === 'notRun') return end.status === 421 ? 'hurt' : end.status === 503 || end.status === 429 ? 'full' : 'well';
  if (end.kind === 'status') return end.status >= 500 ? 'poor' : 'well';
  if (end.kind === 'broken') return halted ? 'unknown' : 'hurt';
  return end.kind === 'unsent' ? 'hurt' : 'well';
}
