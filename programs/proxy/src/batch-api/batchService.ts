import { createHash } from 'node:crypto';
import type { LeaderFinder } from '@pewterlanding/consensus';
import { QuotaName, check, BatchId, shardOf } from '@pewterlanding/model';
import { TransportError } from '@pewterlanding/runtime';
import type { Finding, ItemId, NodeName, Service, Configuration } from '@pewterlanding/model';
import type { Clock, Counters } from '@pewterlanding/runtime';
import { fleetCeiling, shareOf } from '@pewterlanding/rate-limit';
import type { QuotaTree } from '@pewterlanding/rate-limit';
import { storeCalls } from '@pewterlanding/store';
import type { BatchCommand, BatchOutcomes, BatchRecord, BatchView } from '@pewterlanding/store';
import type { SubmittedOpaque } from './submittedOpaque.js';
import type { BatchBody } from './batchBody.js';
import type { RoutingState } from '../updates/routingState.js';
import type { OpaqueBatch } from './opaqueBatch.js';

interface BatchServiceOptions {
  readonly front: NodeName;
  readonly instance: string;
  readonly clock: Clock;
  readonly routingState: RoutingState;
  readonly finder: LeaderFinder;
  readonly waitMs: number;
  readonly counters: Counters;
}

type Submitted =
  | { readonly kind: 'made'; readonly batch: BatchId }
  | {
      readonly kind: 'refused';
      readonly status: 403 | 404 | 409 | 413 | 422 | 503;
      readonly reason: string;
      readonly findings?: readonly Finding[];
    };

/** Of the longest read: one answer's bytes. */
const maxOutcomeBytes = 1_000_000;

/** Where callers hand in lots, read and end them; any front serves any lot. */
export class BatchService {
  readonly #options: BatchServiceOptions;
  #count = 0;

  constructor(options: BatchServiceOptions) {
    this.#options = options;
  }

  /**
   * Resolves as made only once the lot is durable. The key makes the lot's id, so a repeat finds the same lot. What is refused
   * under the present setup may have been taken under an earlier one, its return lost on the way: then it is not refused.
   */
  async hand(quotaText: string | undefined, key: string, body: BatchBody): Promise<Submitted> {
    const { routingState } = this.#options;
    const { configuration, tree } = routingState.tables;
    if (configuration === undefined || !routingState.fresh()) return { kind: 'refused', status: 503, reason: 'this front is not ready' };
    const quota = check(QuotaName, quotaText);
    if (!quota.ok) return { kind: 'refused', status: 403, reason: 'no such branch' };
    const id = this.#batchId(quota.value, key);
    const bodyHash = createHash('sha256').update(JSON.stringify(body)).digest('hex');
    const rule = configuration.services[body.service];
    const refused = this.#objection(configuration, tree, quota.value, body);
    if (refused !== undefined || rule === undefined) {
      const known = await this.read(id);
      if (known?.bodyHash === bodyHash) return { kind: 'made', batch: id };
      return refused ?? { kind: 'refused', status: 404, reason: 'no such service' };
    }
    const nowMs = this.#options.clock.wallMs();
    const batch: BatchRecord = {
      id,
      quota: quota.value,
      service: body.service,
      bodyHash,
      idempotent: rule.idempotent,
      createdMs: nowMs,
      outputTokens: this.#expected(body.service, rule),
      bytesPerToken: rule.bytesPerToken,
      items: body.items.map(({ id: item, input }) => ({
        id: item,
        input: JSON.stringify(input),
        state: 'QUEUED',
        queuedAtMs: nowMs,
        notBeforeMs: 0,
        attempts: 0,
      })),
    };
    const response = await this.#change(id, { kind: 'submit', batch });
    if (response.reason === 'different') return { kind: 'refused', status: 409, reason: 'this key was used for another lot' };
    return { kind: 'made', batch: id };
  }

  #expected(service: BatchBody['service'], rule: Service): number {
    return this.#options.routingState.tables.outputTokens.get(service) ?? rule.outputTokens;
  }

  /** Why the present setup does not take a lot, if it does not. */
  #objection(
    configuration: Configuration,
    tree: QuotaTree,
    quota: QuotaName,
    body: BatchBody,
  ): Extract<Submitted, { kind: 'refused' }> | undefined {
    if (!tree.has(quota)) return { kind: 'refused', status: 403, reason: 'no such branch' };
    const rule = configuration.services[body.service];
    if (rule === undefined) return { kind: 'refused', status: 404, reason: 'no such service' };
    if (body.items.length > configuration.bounds.maxItems)
      return { kind: 'refused', status: 413, reason: `more than ${configuration.bounds.maxItems} items` };
    const expected = this.#expected(body.service, rule);
    // What could never be reserved must not be accepted: it would wait for ever.
    const limit = shareOf(
      fleetCeiling(configuration, this.#options.routingState.slots()),
      tree.ownShare(quota) * (1 - configuration.bounds.fallbackRatio) * configuration.bounds.waitingRatio,
    );
    const seen = new Set<string>();
    const findings: Finding[] = body.items.length === 0 ? [{ place: 'items', message: 'at least one item' }] : [];
    body.items.forEach((item, position) => {
      if (seen.has(item.id)) findings.push({ place: `items.${position}.id`, message: `${item.id} is there twice` });
      seen.add(item.id);
      const input = JSON.stringify(item.input);
      const tokens = Math.ceil(input.length / rule.bytesPerToken + expected);
      if (input.length > rule.maxTaskBytes)
        findings.push({ place: `items.${position}.input`, message: `${item.id} is larger than a task may be` });
      else if (tokens > limit.tokens || limit.requests < 1)
        findings.push({
          place: `items.${position}`,
          message: `${item.id} needs ${tokens} tokens; branch ${quota} can never give more than ${limit.tokens} at once`,
        });
    });
    return findings.length === 0 ? undefined : { kind: 'refused', status: 422, reason: 'the lot cannot be taken', findings };
  }

  async read(batch: BatchId): Promise<BatchView | undefined> {
    const shard = this.#shard(batch);
    return this.#options.finder.ask(shard, storeCalls.batch, { shard, batch }, this.#options.waitMs);
  }

  async results(batch: BatchId, after: number, limit: number) {
    const shard = this.#shard(batch);
    return this.#options.finder.ask(shard, storeCalls.results, { shard, batch, after, limit }, this.#options.waitMs);
  }

  /** False when there is no such lot. */
  async end(batch: BatchId): Promise<boolean> {
    const response = await this.#change(batch, { kind: 'end', batch, atMs: this.#options.clock.wallMs() });
    return response.done;
  }

  /**
   * Takes a lot of opaque items, under the id that its downstream gave it; the same lot again is taken once. A refusal is given
   * only where it stays true: after a send that brought no word, the lot may have been taken, or may be taken yet.
   */
  async submitOpaque(batch: OpaqueBatch, waitMs: number): Promise<SubmittedOpaque> {
    const { routingState, clock, finder } = this.#options;
    const { configuration, tree, version } = routingState.tables;
    const retryAfterMs = configuration?.bounds.tickMs ?? this.#options.waitMs;
    const notHere = (reason: string): SubmittedOpaque => ({ kind: 'refused', status: 503, reason, retryAfterMs });
    if (configuration === undefined || !routingState.fresh()) return notHere('this front is not ready');
    const route = configuration.routes[batch.route];
    if (route?.kind !== 'batch') return { kind: 'refused', status: 404, reason: 'no such route for lots' };
    const service = [...route.services].sort((a, b) => b.weight - a.weight)[0]?.service;
    if (service === undefined || route.quota === undefined || !tree.has(route.quota)) return notHere('the route has no branch yet');
    if (batch.items.length > configuration.bounds.maxItems)
      return { kind: 'refused', status: 413, reason: `more than ${configuration.bounds.maxItems} items` };
    if (new Set(batch.items.map(({ id }) => id)).size < batch.items.length)
      return { kind: 'refused', status: 422, reason: 'an item is there twice' };
    const sentMs = clock.wallMs();
    const { dueMs, retainMs } = route.batch ?? {};
    const record: BatchRecord = {
      id: batch.id,
      quota: route.quota,
      service,
      bodyHash: hashOf(batch),
      idempotent: true,
      createdMs: sentMs,
      outputTokens: 0,
      bytesPerToken: 1,
      route: {
        name: batch.route,
        host: route.host,
        version,
        sentMs,
        dueMs,
        retainMs,
        keepMs: configuration.bounds.batchKeepMs,
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
    const shard = this.#hostShard(route.host);
    const trail = { unclear: false };
    const waitingTokens = route.batch?.waitingTokens ?? 0;
    const body = { shard, id: this.#nextId(), command: { kind: 'submit' as const, batch: record, waitingTokens } };
    const response = await finder.ask(shard, storeCalls.change, body, waitMs, 0, trail).catch(() => undefined);
    if (response?.done === true) return { kind: 'made' };
    if (trail.unclear) return { kind: 'unknown' };
    if (response?.reason === 'full')
      return {
        kind: 'refused',
        status: 429,
        reason: 'too much waits on this route',
        retryAfterMs: (route.latencyTargetMs ?? retryAfterMs * 2) / 2,
      };
    if (response?.reason === 'different') return { kind: 'refused', status: 409, reason: 'this id was used for another lot' };
    return notHere('the lots of this host cannot be reached');
  }

  /** Outcomes from a position on, held at the leader until there is one. Undefined when there is surely no such lot. */
  async outcomes(
    batch: BatchId,
    host: string,
    after: number,
    holdMs: number,
    waitMs: number,
  ): Promise<BatchOutcomes | undefined | 'silent'> {
    const ask = (shard: string, heldMs: number, maxMs: number) =>
      this.#options.finder.ask(
        shard,
        storeCalls.outcomes,
        { shard, batch, host, after, maxBytes: maxOutcomeBytes, holdMs: heldMs },
        maxMs,
        heldMs,
      );
    return this.#asked(host, async (shard) => {
      const { clock } = this.#options;
      const untilMs = clock.nowMs() + waitMs + holdMs;
      try {
        return await ask(shard, Math.floor(holdMs), holdMs + waitMs / 2);
      } catch {
        // A leader that was lost while it held the read is not waited for again.
        return ask(shard, 0, Math.max(1, untilMs - clock.nowMs()));
      }
    });
  }

  /** The bytes of an item that is not final. */
  itemBody(batch: BatchId, host: string, item: ItemId, waitMs: number): Promise<Uint8Array | undefined | 'silent'> {
    return this.#asked(host, (shard) => this.#options.finder.ask(shard, storeCalls.itemBody, { shard, batch, host, item }, waitMs));
  }

  /** False when there is no such lot; after an end nothing of it starts. */
  endOpaque(batch: BatchId, host: string, waitMs: number): Promise<boolean | 'silent'> {
    return this.#asked(host, async (shard) => {
      const command: BatchCommand = { kind: 'end', batch, host, atMs: this.#options.clock.wallMs() };
      const response = await this.#options.finder.ask(shard, storeCalls.change, { shard, id: this.#nextId(), command }, waitMs);
      return response.done;
    });
  }

  async #asked<T>(host: string, ask: (shard: string) => Promise<T>): Promise<T | 'silent'> {
    try {
      return await ask(this.#hostShard(host));
    } catch {
      this.#options.counters.add('desk.silent');
      return 'silent';
    }
  }

  /**
   * All lots of a host sit together: the tokens that wait on a route are counted in one place, exactly, and whoever reads or ends
   * a lot names its host, so every front knows where to ask without knowing the lot.
   */
  #hostShard(host: string): string {
    return this.#shardOf(host);
  }

  #batchId(quota: QuotaName, key: string): BatchId {
    const read = check(BatchId, `lot_${createHash('sha256').update(`${quota}\u0000${key}`).digest('hex').slice(0, 32)}`);
    if (!read.ok) throw new Error('unreachable: a hash is always a lot id');
    return read.value;
  }

  #shard(batch: BatchId): string {
    return this.#shardOf(batch);
  }

  #shardOf(key: string): string {
    const { configuration } = this.#options.routingState.tables;
    // Without a setup this front cannot tell where the lot is, and must not say that it is nowhere.
    if (configuration === undefined) throw new TransportError('silent', 'no setup yet');
    return shardOf('lots', key, configuration.batchShards);
  }

  #change(batch: BatchId, command: BatchCommand) {
    const shard = this.#shard(batch);
    const id = this.#nextId();
    return this.#options.finder.ask(shard, storeCalls.change, { shard, id, command }, this.#options.waitMs);
  }

  #nextId(): string {
    this.#count += 1;
    return `${this.#options.front}/${this.#options.instance}/desk/${this.#count}`;
  }
}

/** Of all that was handed in, to tell a repeat from another lot under the same id. */
function hashOf(batch: OpaqueBatch): string {
  const hash = createHash('sha256').update(batch.route);
  for (const { id, tokens, path, headers, body } of batch.items)
    hash.update(JSON.stringify([id, tokens, path, Object.entries(headers), body.length])).update(body);
  return hash.digest('hex');
}
