import * as v from 'valibot';
import type { FrontProxy } from '@pewterlanding/proxy';
import { ItemId, shardOf, ServiceName, TaskId } from '@pewterlanding/model';
import type { BatchId } from '@pewterlanding/model';
import type { SimFleet } from './simFleet.js';

interface TrafficOptions {
  /** Tasks and batches a second. */
  readonly tasks: number;
  readonly batches: number;
  readonly itemsPerBatch: number;
  /** One of so many batches is ended soon after it was handed in. */
  readonly endOneOf: number;
  readonly batchShards: number;
}

const quotas = ['south', 'north'] as const;
/** One of so many batches is one that must be refused, and one of so many keys is used again for another batch. */
const wrongOneOf = 7;
const reusedOneOf = 9;
const endedItems = 60;
/** Refusals that no later try under the same key changes. */
const final = new Set([403, 404, 409, 413, 422]);

/** The request of the n-th caller: mostly one of the two main services, sometimes one that comes and goes or was never configured. */
function askOf(number: number): {
  readonly service: string;
  readonly quota: string;
  readonly kind: 'streamed' | 'whole';
  readonly idempotent: boolean;
} {
  if (number % 40 === 7) return { service: 'ghost', quota: 'live', kind: 'whole', idempotent: true };
  if (number % 12 === 5) return { service: 'memo', quota: 'guest', kind: 'whole', idempotent: true };
  if (number % 3 === 0) return { service: 'book', quota: 'live', kind: 'whole', idempotent: false };
  return { service: 'ask', quota: 'live', kind: 'streamed', idempotent: true };
}

interface OpenBatch {
  readonly batch: BatchId;
  readonly key: string;
  readsLeft: number;
  done: boolean;
  readonly acceptedMs: number;
}

const timeoutMs = 15_000;
/** Owners that read at the same time; the others wait for theirs. */
const maxReaders = 12;
const Piece = v.object({ run: v.string(), number: v.number(), of: v.number() });
const Whole = v.object({ key: v.string(), run: v.string() });

/** Callers in virtual time: live tasks, batches handed in, read twice a second, sometimes ended. */
export class SimTraffic {
  readonly #fleet: SimFleet;
  readonly #options: TrafficOptions;
  readonly #batches: OpenBatch[] = [];
  /** Whose batches are handed in; a scenario may change it. */
  batchQuotas: readonly string[] = quotas;
  #ready: readonly string[] = [];
  #tasks = 0;
  #handed = 0;
  #stopped = false;

  constructor(fleet: SimFleet, options: TrafficOptions) {
    this.#fleet = fleet;
    this.#options = options;
  }

  start(): void {
    this.#each(1000, () => this.#poll());
    this.#poll();
    this.#each(1000 / this.#options.tasks, () => this.task());
    if (this.#options.batches > 0) this.#each(1000 / this.#options.batches, () => void this.#hand());
    this.#each(500, () => {
      for (const open of this.#batches.filter((one) => one.readsLeft > 0).slice(0, maxReaders)) void this.#read(open);
    });
  }

  /** Batches accepted before a time that nobody has read to their end. */
  unfinished(beforeMs: number): number {
    return this.#batches.filter((batch) => batch.acceptedMs < beforeMs && !batch.done).length;
  }

  stop(): void {
    this.#stopped = true;
  }

  /** A front as the platform would choose it for a caller. */
  front(): { readonly name: string; readonly proxy: FrontProxy | undefined } {
    const names = this.#ready.length > 0 ? this.#ready : this.#fleet.named('front').map((host) => host.machine.name);
    const name = names[Math.floor(this.#fleet.random() * names.length)] ?? 'front-1';
    return { name, proxy: this.#fleet.host(name).process?.proxy };
  }

  /** The shard that keeps an accepted batch, by the name its caller gave it. */
  shardOf(name: string): string {
    const batch = this.#batches.find((open) => open.key === name)?.batch;
    return shardOf('lots', batch ?? name, this.#options.batchShards);
  }

  task(): void {
    this.#tasks += 1;
    const { service, quota, kind, idempotent } = askOf(this.#tasks);
    const key = `task-${this.#tasks}`;
    const { history, time } = this.#fleet;
    const { name } = this.front();
    const pieces: v.InferOutput<typeof Piece>[] = [];
    const abort = new AbortController();
    let over = false;
    const told = (outcome: 'returned' | 'refused' | 'failed' | 'cut' | 'lost', status?: number, wrong?: string): void => {
      if (over) return;
      over = true;
      cancel();
      history.push({ type: 'told', atMs: time.nowMs, key, outcome, status, wrong, ...(kind === 'streamed' ? { pieces } : {}) });
    };
    const cancel = time.after(timeoutMs, () => {
      told('lost');
      this.#at(name, () => abort.abort());
    });
    history.push({ type: 'sent', atMs: time.nowMs, key, service, idempotent, kind, quota, front: name });
    time.after(1, () =>
      this.#at(name, (proxy) => {
        const process = this.#fleet.host(name).process;
        if (proxy === undefined || process === undefined) return time.after(1, () => told('lost'));
        process.instance.onEnd(() => told('lost'));
        const task = {
          id: v.parse(TaskId, `t-${this.#tasks}-${key}`),
          quota,
          service: v.parse(ServiceName, service),
          input: JSON.stringify({ key }),
        };
        if (proxy.ready().ready)
          history.push({ type: 'carriedUnder', atMs: time.nowMs, front: name, version: proxy.routingState.tables.version });
        const piece = (data: string): void => {
          time.after(1, () => {
            if (!over) pieces.push(v.parse(Piece, JSON.parse(data)));
          });
        };
        void proxy.forwarder.carry(task, piece, abort.signal).then((result) => {
          const wrong =
            result.kind === 'whole' && v.parse(Whole, JSON.parse(result.body)).key !== key ? 'the return of another task' : undefined;
          time.after(1, () =>
            told(
              result.kind === 'whole' || result.kind === 'streamed' ? 'returned' : result.kind,
              'status' in result ? result.status : 200,
              wrong,
            ),
          );
        });
      }),
    );
  }

  /** One more lot of a branch, at once. */
  flood(quota: string, items: number): void {
    this.#handed += 1;
    const key = `lot-${this.#handed}`;
    const ids = Array.from({ length: items }, (_, position) => `item-${position}`);
    void this.#handUntilTold(key, key, quota, 'tag', ids, 0);
  }

  async #hand(): Promise<void> {
    this.#handed += 1;
    const number = this.#handed;
    const key = `lot-${number}`;
    const quota = this.batchQuotas[number % this.batchQuotas.length];
    if (quota === undefined) return;
    const service = number % 3 === 0 ? 'sheet' : 'tag';
    const ends = number % this.#options.endOneOf === 0;
    // A batch that is ended must be too long to have started whole by then.
    const length = ends ? Math.max(endedItems, this.#options.itemsPerBatch) : this.#options.itemsPerBatch;
    const ids = Array.from({ length }, (_, position) => `item-${position}`);
    const wrong = number % wrongOneOf === 3;
    const batch = await this.#handUntilTold(key, key, quota, service, ids, wrong ? 400_000 : 0);
    if (batch === undefined) return;
    this.#batches.push({ batch, key, readsLeft: 6, done: false, acceptedMs: this.#fleet.time.nowMs });
    if (ends) this.#fleet.time.after(50 + this.#fleet.random() * 400, () => void this.#end(batch, key));
    if (number % reusedOneOf === 1) await this.#handUntilTold(`${key}-other`, key, quota, service, ids, 0);
  }

  /** Hands a batch in, again under its key until it is told what became of it, as a careful caller would. */
  async #handUntilTold(
    name: string,
    key: string,
    quota: string,
    service: string,
    ids: readonly string[],
    pad: number,
  ): Promise<BatchId | undefined> {
    const { time } = this.#fleet;
    for (const id of ids) {
      this.#fleet.note({
        type: 'sent',
        atMs: time.nowMs,
        key: `${name}/${id}`,
        service,
        idempotent: service === 'tag',
        kind: 'batch',
        quota,
      });
    }
    const items = ids.map((id) => ({
      id: v.parse(ItemId, id),
      input: { key: `${name}/${id}`, branch: quota, ...(pad > 0 ? { pad: 'x'.repeat(pad) } : {}) },
    }));
    for (let attempts = 0; attempts < 20 && !this.#stopped; attempts += 1) {
      const { proxy } = this.front();
      const submitted = await proxy?.batches.submit(quota, key, { service: v.parse(ServiceName, service), items }).catch(() => undefined);
      if (submitted?.kind === 'accepted') {
        this.#fleet.note({ type: 'batchAccepted', atMs: time.nowMs, batch: name, quota, items: [...ids] });
        return submitted.batch;
      }
      if (submitted?.kind === 'rejected' && final.has(submitted.status)) {
        this.#fleet.note({ type: 'batchRefused', atMs: time.nowMs, batch: name, items: [...ids] });
        return undefined;
      }
      await new Promise<void>((resolve) => time.after(500, resolve));
    }
    return undefined;
  }

  async #end(batch: BatchId, key: string): Promise<void> {
    const ended = await this.front()
      .proxy?.batches.end(batch)
      .catch(() => undefined);
    if (ended === true) this.#fleet.note({ type: 'batchEnded', atMs: this.#fleet.time.nowMs, batch: key });
  }

  async #read(open: OpenBatch): Promise<void> {
    const askedMs = this.#fleet.time.nowMs;
    const { proxy } = this.front();
    // From the beginning each time: a result that changed after it was read must show.
    const page = proxy === undefined ? 'silent' : await proxy.batches.results(open.batch, 0, 1000).catch(() => 'silent' as const);
    if (page !== 'silent' && page?.done === true) {
      open.readsLeft -= 1;
      open.done = true;
    }
    const results =
      page === 'silent' ? [] : (page?.results.map(({ id, state, result }) => ({ id, result: `${state} ${result ?? ''}` })) ?? []);
    const found = page === 'silent' ? 'silent' : page === undefined ? 'no' : 'yes';
    this.#fleet.note({ type: 'batchRead', askedMs, atMs: this.#fleet.time.nowMs, batch: open.key, found, results });
  }

  /** Runs on a front's machine, when it is awake. */
  #at(name: string, run: (proxy: FrontProxy | undefined) => unknown): void {
    const host = this.#fleet.host(name);
    host.machine.run(() => void run(host.process?.proxy));
  }

  #poll(): void {
    this.#ready = this.#fleet
      .named('front')
      .filter((host) => !host.machine.frozen && host.process?.proxy?.ready().ready === true)
      .map((host) => host.machine.name);
  }

  #each(periodMs: number, run: () => void): void {
    if (this.#stopped) return;
    this.#fleet.time.after(periodMs, () => {
      if (this.#stopped) return;
      run();
      this.#each(periodMs, run);
    });
  }
}
