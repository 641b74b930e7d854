import * as v from 'valibot';
import type { StateMachine } from '@pewterlanding/consensus';
import { Count } from '@pewterlanding/model';
import type { BatchId, RouteName } from '@pewterlanding/model';
import type { Item } from '../batch/item.js';
import type { ItemRef } from '../batch/itemRef.js';
import { Batch } from '../batch/batch.js';
import { BatchCommand } from './batchCommand.js';
import { BatchRecord } from '../batch/batchRecord.js';
import { BatchReturn } from '../batch/batchReturn.js';
import { batchShardFormat1 } from './batchShardFormat1.js';
import type { OpenLease } from '../batch/openLease.js';
import type { QueuedItem } from '../queue/queuedItem.js';
import { QueuedItems } from '../queue/queuedItems.js';

const Digest = v.strictObject({ term: Count, batches: v.array(BatchRecord) });

/** One shard of the lots, the machine that every member of the shard runs. */
export class BatchShard implements StateMachine<BatchCommand, BatchReturn> {
  readonly #batches = new Map<BatchId, Batch>();
  readonly #line = new QueuedItems();
  readonly #open = new Map<string, ItemRef>();
  /** Stated tokens that wait, by route. */
  readonly #waitingTokens = new Map<RouteName, number>();
  /** Since when this member knows each lot on a route, by its own clock: no wall clock can make a lot older than it is. */
  readonly #knownMs = new Map<BatchId, number>();
  /** Until when items that went back are left alone, by this member's clock; forgotten with it. */
  readonly #restsMs = new Map<string, number>();
  readonly #nowMs: () => number;
  readonly #finished: (batch: BatchId) => void;
  #term = 0;

  constructor(options: { readonly nowMs?: () => number; readonly finished?: (batch: BatchId) => void } = {}) {
    this.#nowMs = options.nowMs ?? (() => 0);
    this.#finished = options.finished ?? (() => undefined);
  }

  get term(): number {
    return this.#term;
  }

  get batches(): ReadonlyMap<BatchId, Batch> {
    return this.#batches;
  }

  read(raw: unknown): BatchCommand {
    return v.parse(BatchCommand, batchShardFormat1.command(raw));
  }

  readReturn(raw: unknown): BatchReturn {
    return v.parse(BatchReturn, batchShardFormat1.result(raw));
  }

  snapshot(): unknown {
    // Bytes, leases and results are never changed in place, so what can change is all that is copied.
    const copy = (record: Batch['record']): BatchRecord => ({
      ...record,
      order: [...record.order],
      items: record.items.map((item) => ({ ...item })),
    });
    return { term: this.#term, batches: [...this.#batches.values()].map(({ record }) => copy(record)) };
  }

  restore(raw: unknown): void {
    const digest = v.parse(Digest, batchShardFormat1.snapshot(raw));
    this.#term = digest.term;
    this.#batches.clear();
    this.#line.clear();
    this.#open.clear();
    this.#waitingTokens.clear();
    this.#knownMs.clear();
    this.#restsMs.clear();
    for (const record of digest.batches) this.#add(new Batch(record));
  }

  apply(command: BatchCommand): BatchReturn {
    switch (command.kind) {
      case 'submit':
        return this.#hand(command.batch, command.waitingTokens);
      case 'fence':
        return this.#fence(command.term);
      case 'claim':
        return this.#claim(command);
      case 'forget':
        for (const [id, batch] of this.#batches)
          if (batch.record.route === undefined && batch.done && batch.record.createdMs < command.beforeMs) this.#batches.delete(id);
        return { done: true };
      case 'end':
        if (this.find(command.batch, command.host) === undefined) return { done: false, reason: 'unknown' };
        return this.#withAll(command.batch, (batch) => batch.end(command.atMs));
      case 'abandon':
        for (const ref of command.refs) this.#withItem(ref, (batch, position) => batch.abandon(position, command.version));
        return { done: true };
      case 'expire':
        for (const id of command.batches) this.#withAll(id, (batch) => batch.expire());
        return { done: true };
      case 'drop':
        for (const id of command.batches) if (this.#batches.get(id)?.done === true) this.#drop(id);
        return { done: true };
      case 'release':
        return this.#withItem(command.ref, (batch, position) => {
          const response = batch.release(position, command);
          if (response.done && command.waitMs !== undefined) this.#restsMs.set(keyOf(batch, position), this.#nowMs() + command.waitMs);
          return response;
        });
      case 'start':
        // A lease of an older epoch than the newest dispatcher's starts nothing; what it started already may go on.
        if (command.lease.term < this.#term && !this.#started(command.ref)) return { done: false, reason: 'term' };
        return this.#withItem(command.ref, (batch, position) => batch.start(position, command.lease));
      case 'close':
        return this.#withItem(command.ref, (batch, position) => batch.close(position, command.lease, command.state, command.result));
      case 'lost':
        return this.#withItem(command.ref, (batch, position) => batch.lost(position, command.lease));
    }
  }

  /** The first `most` items of each branch that may go now, and how many wait in all. */
  queued(limit: number, nowMs: number): { readonly items: QueuedItem[]; readonly waiting: Record<string, number> } {
    const items: QueuedItem[] = [];
    const waiting: Record<string, number> = {};
    for (const [quota, line] of this.#line.lines()) {
      waiting[quota] = line.length;
      let found = 0;
      for (const { batch: id, position, queuedAtMs, dueAtMs } of line) {
        if (found >= limit) break;
        const batch = this.#batches.get(id);
        const item = batch?.item(position);
        if (batch === undefined || item === undefined || item.notBeforeMs > nowMs) continue;
        if ((this.#restsMs.get(keyOf(batch, position)) ?? 0) > this.#nowMs()) continue;
        found += 1;
        items.push({
          ref: { batch: id, position },
          quota,
          service: batch.record.service,
          tokens: batch.estimate(position),
          queuedAtMs,
          dueAtMs,
          route: routeOf(batch.record, item),
          attempts: item.attempts,
        });
      }
    }
    return { items, waiting };
  }

  openLeases(): OpenLease[] {
    const leases: OpenLease[] = [];
    for (const ref of this.#open.values()) {
      const batch = this.#batches.get(ref.batch);
      const item = batch?.item(ref.position);
      if (batch === undefined || item?.lease === undefined) continue;
      const { quota, service, route } = batch.record;
      const started = item.state === 'IN_PROGRESS';
      leases.push({ ref, lease: item.lease, started, quota, service, tokens: batch.estimate(ref.position), route: route?.name });
    }
    return leases;
  }

  /** A lot on a route is there only for those who ask under its host. */
  find(id: BatchId, host: string | undefined): Batch | undefined {
    const batch = this.#batches.get(id);
    return batch?.record.route?.host === host ? batch : undefined;
  }

  /** Stated tokens that wait on a route. */
  waitingTokens(route: RouteName): number {
    return this.#waitingTokens.get(route) ?? 0;
  }

  /** What a leader may let go: lots past their time to be retained, and final ones that were kept long enough. */
  aged(): { readonly expired: BatchId[]; readonly kept: BatchId[] } {
    const now = this.#nowMs();
    const expired: BatchId[] = [];
    const kept: BatchId[] = [];
    for (const [id, sinceMs] of this.#knownMs) {
      const batch = this.#batches.get(id);
      const route = batch?.record.route;
      if (batch === undefined || route === undefined) continue;
      if (batch.done) {
        if (now - sinceMs > route.keepMs) kept.push(id);
      } else if (route.retainMs !== undefined && now - sinceMs > route.retainMs) expired.push(id);
    }
    return { expired, kept };
  }

  #hand(record: BatchRecord, waitingTokens = 0): BatchReturn {
    const known = this.#batches.get(record.id);
    if (known !== undefined) return known.record.bodyHash === record.bodyHash ? { done: true } : { done: false, reason: 'different' };
    const batch = new Batch(record);
    const route = record.route?.name;
    if (route !== undefined && waitingTokens > 0 && this.waitingTokens(route) + batch.waitingTokens > waitingTokens)
      return { done: false, reason: 'full' };
    this.#add(batch);
    return { done: true };
  }

  #fence(term: number): BatchReturn {
    if (term < this.#term) return { done: false, reason: 'term', term: this.#term };
    this.#term = term;
    for (const { ref, lease, started } of this.openLeases()) {
      if (started || lease.term >= term) continue;
      this.#withItem(ref, (batch, position) => batch.release(position, { lease, notBeforeMs: 0, tried: false, maxAttempts: 0 }));
    }
    return { done: true, term };
  }

  #claim(command: Extract<BatchCommand, { kind: 'claim' }>): BatchReturn {
    if (command.term < this.#term) return { done: false, reason: 'term', term: this.#term };
    this.#term = command.term;
    const claimed = command.claims
      .filter(({ ref, lease }) => this.#withItem(ref, (batch, position) => ({ done: batch.claim(position, lease) })).done)
      .map(({ ref }) => ref);
    return { done: true, claimed };
  }

  #withBatch(id: BatchId, change: (batch: Batch) => BatchReturn): BatchReturn {
    const batch = this.#batches.get(id);
    if (batch === undefined) return { done: false, reason: 'unknown' };
    const waited = batch.waitingTokens;
    const finished = batch.record.order.length;
    const response = change(batch);
    this.#count(batch, batch.waitingTokens - waited);
    if (batch.record.order.length > finished) this.#finished(id);
    return response;
  }

  #withAll(id: BatchId, change: (batch: Batch) => void): BatchReturn {
    return this.#withBatch(id, (batch) => {
      change(batch);
      batch.record.items.forEach((_, position) => this.#refile(batch, position));
      return { done: true };
    });
  }

  #count({ record }: Batch, tokens: number): void {
    const route = record.route?.name;
    if (route === undefined || tokens === 0) return;
    const waiting = this.waitingTokens(route) + tokens;
    if (waiting === 0) this.#waitingTokens.delete(route);
    else this.#waitingTokens.set(route, waiting);
  }

  #drop(id: BatchId): void {
    this.#batches.delete(id);
    this.#knownMs.delete(id);
  }

  #started(ref: ItemRef): boolean {
    const batch = this.#batches.get(ref.batch);
    return batch?.record.route !== undefined && batch.item(ref.position)?.state === 'IN_PROGRESS';
  }

  #withItem(ref: ItemRef, change: (batch: Batch, position: number) => BatchReturn): BatchReturn {
    return this.#withBatch(ref.batch, (batch) => {
      const response = change(batch, ref.position);
      this.#refile(batch, ref.position);
      return response;
    });
  }

  #add(batch: Batch): void {
    this.#batches.set(batch.record.id, batch);
    if (batch.record.route !== undefined) this.#knownMs.set(batch.record.id, this.#nowMs());
    this.#count(batch, batch.waitingTokens);
    batch.record.items.forEach((_, position) => this.#refile(batch, position));
  }

  /** Puts an item's place in the line and among the open leases right after its state may have changed. */
  #refile(batch: Batch, position: number): void {
    const item = batch.item(position);
    if (item === undefined) return;
    const { id, quota } = batch.record;
    const key = keyOf(batch, position);
    const waiting = { batch: id, position, queuedAtMs: item.queuedAtMs, dueAtMs: batch.dueAtMs(position) };
    if (item.state === 'QUEUED') this.#line.put(quota, waiting);
    else {
      this.#line.take(quota, waiting);
      this.#restsMs.delete(key);
    }
    if (item.state === 'DISPATCHED' || item.state === 'IN_PROGRESS') this.#open.set(key, { batch: id, position });
    else this.#open.delete(key);
  }
}

function keyOf({ record }: Batch, position: number): string {
  return `${record.id} ${position}`;
}

function routeOf({ route }: BatchRecord, { id }: Item): QueuedItem['route'] {
  return route === undefined ? undefined : { item: id, name: route.name, host: route.host, version: route.version };
}
