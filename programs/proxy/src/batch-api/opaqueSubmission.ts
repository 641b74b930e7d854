import type { Configuration, QuotaName, Route, ServiceName } from '@pewterlanding/model';
import { storeCalls } from '@pewterlanding/store';
import type { BatchRecord, BatchReturn } from '@pewterlanding/store';
import type { BatchServiceOptions } from './batchServiceOptions.js';
import type { BatchShards } from './batchShards.js';
import type { OpaqueBatch } from './opaqueBatch.js';
import { opaqueBatchHash } from './opaqueBatchHash.js';
import type { SubmittedOpaque } from './submittedOpaque.js';

interface OpaqueSubmissionOptions extends BatchServiceOptions {
  readonly shards: BatchShards;
}

/** Where a batch of opaque items is charged and run, as the configuration says. */
interface Target {
  readonly route: Route;
  readonly quota: QuotaName;
  readonly service: ServiceName;
}

/** What the leader answered to a submission, and whether any try was sent without an answer. */
interface Sent {
  readonly response: BatchReturn | undefined;
  readonly unclear: boolean;
}

/** Submissions of opaque items, under the id that the downstream gave the batch; the same batch again is stored once. */
export class OpaqueSubmission {
  readonly #options: OpaqueSubmissionOptions;

  constructor(options: OpaqueSubmissionOptions) {
    this.#options = options;
  }

  /**
   * Rejects a batch only where that stays true: after a send without a response the batch may have been stored, or may be stored
   * yet, and the outcome is `unknown`.
   */
  async submit(batch: OpaqueBatch, waitMs: number): Promise<SubmittedOpaque> {
    const { routingState } = this.#options;
    const { configuration, tree } = routingState.tables;
    const retryAfterMs = configuration?.bounds.tickMs ?? this.#options.waitMs;
    if (configuration === undefined || !routingState.isFresh()) return unavailable('this front is not ready', retryAfterMs);
    const route = configuration.routes[batch.route];
    if (route?.kind !== 'batch') return { kind: 'rejected', status: 404, reason: 'no such route for batches' };
    const service = heaviestService(route);
    if (service === undefined || route.quota === undefined || !tree.has(route.quota))
      return unavailable('the route has no quota yet', retryAfterMs);
    const { maxItems } = configuration.bounds;
    if (batch.items.length > maxItems) return { kind: 'rejected', status: 413, reason: `more than ${maxItems} items` };
    if (new Set(batch.items.map(({ id }) => id)).size < batch.items.length)
      return { kind: 'rejected', status: 422, reason: 'an item is there twice' };
    const record = this.#record(batch, { route, quota: route.quota, service }, configuration);
    const sent = await this.#send(record, route, waitMs);
    return outcomeOf(sent, route, retryAfterMs);
  }

  async #send(batch: BatchRecord, route: Route, waitMs: number): Promise<Sent> {
    const { finder, shards } = this.#options;
    const shard = shards.shardOf(route.host);
    const trail = { unclear: false };
    const waitingTokens = route.batch?.waitingTokens ?? 0;
    const body = { shard, id: shards.nextCommandId(), command: { kind: 'submit' as const, batch, waitingTokens } };
    const response = await finder.ask(shard, storeCalls.change, body, waitMs, 0, trail).catch(() => undefined);
    return { response, unclear: trail.unclear };
  }

  #record(batch: OpaqueBatch, { route, quota, service }: Target, { bounds }: Configuration): BatchRecord {
    const sentMs = this.#options.clock.wallMs();
    const { dueMs, retainMs } = route.batch ?? {};
    return {
      id: batch.id,
      quota,
      service,
      bodyHash: opaqueBatchHash(batch),
      idempotent: true,
      createdMs: sentMs,
      outputTokens: 0,
      bytesPerToken: 1,
      route: {
        name: batch.route,
        host: route.host,
        version: this.#options.routingState.tables.version,
        sentMs,
        dueMs,
        retainMs,
        keepMs: bounds.batchKeepMs,
        attempts: route.attempts,
      },
      items: batch.items.map(({ id, tokens, path, headers, body }) => ({
        id,
        input: '',
        task: { path, headers, body },
        tokens,
        state: 'QUEUED',
        queuedAtMs: sentMs,
        notBeforeMs: 0,
        attempts: 0,
      })),
    };
  }
}

/** Dispatch is accounted to the service that gets most of the route's traffic. */
function heaviestService(route: Route): ServiceName | undefined {
  const byWeight = [...route.services].sort((a, b) => b.weight - a.weight);
  return byWeight[0]?.service;
}

function outcomeOf({ response, unclear }: Sent, route: Route, retryAfterMs: number): SubmittedOpaque {
  if (response?.done === true) return { kind: 'accepted' };
  if (unclear) return { kind: 'unknown' };
  if (response?.reason === 'full') {
    const targetMs = route.latencyTargetMs ?? retryAfterMs * 2;
    return { kind: 'rejected', status: 429, reason: 'too much waits on this route', retryAfterMs: targetMs / 2 };
  }
  if (response?.reason === 'different') return { kind: 'rejected', status: 409, reason: 'this id was used for another batch' };
  return unavailable('the batches of this host cannot be reached', retryAfterMs);
}

function unavailable(reason: string, retryAfterMs: number): SubmittedOpaque {
  return { kind: 'rejected', status: 503, reason, retryAfterMs };
}
