import { request } from 'undici';
import * as v from 'valibot';
import { Caller } from '@pewterlanding/stand-ins';
import type { ToldRecord } from '@pewterlanding/stand-ins';
import type { Address } from '@pewterlanding/model';
import { HarnessError } from '../errors/index.js';
import type { Deployment } from './deployment.js';
import type { Fleet } from './fleet.js';
import type { HistoryEvent } from '../history/index.js';

type Traffic = Deployment['traffic'][number];

interface DriveOptions {
  readonly fleet: Fleet;
  readonly traffic: readonly Traffic[];
  /** Services whose tasks may be repeated, and those whose returns are streams. */
  readonly idempotent: ReadonlySet<string>;
  readonly streamed: ReadonlySet<string>;
  readonly random: () => number;
  readonly note: (historyEvent: HistoryEvent) => void;
  readonly told: (record: ToldRecord) => void;
}

interface OpenBatch {
  readonly key: string;
  readonly path: string;
  readsLeft: number;
}

const Page = v.object({
  done: v.boolean(),
  results: v.array(v.object({ id: v.string(), state: v.string(), output: v.optional(v.unknown()) })),
});
const pollMs = 1000;
const readMs = 500;
const strayMs = 1000;
/** One of so many batches must be refused, one is ended soon, one key is used again for another batch. */
const wrongOneOf = 7;
const endedOneOf = 5;
const reusedOneOf = 9;
/** Refusals that no later try under the same key changes. */
const final = new Set([400, 403, 404, 409, 413, 422]);

/** The brief's traffic against a real fleet, at the brief's rates, spread over ready fronts as the platform would. */
export class LoadGenerator {
  readonly #options: DriveOptions;
  readonly #caller: Caller;
  readonly #batches: OpenBatch[] = [];
  readonly #quotas = new Map<string, string>();
  readonly #timers: NodeJS.Timeout[] = [];
  #reading: NodeJS.Timeout | undefined;
  #ready: readonly Address[];
  #sent = 0;
  #handed = 0;

  constructor(options: DriveOptions) {
    this.#options = options;
    this.#ready = options.fleet.fronts();
    this.#caller = new Caller({ patienceMs: 30_000, told: (record) => this.#told(record) });
  }

  start(): void {
    this.#timers.push(setInterval(() => void this.#poll(), pollMs));
    // Somebody asks for what no configuration ever allowed, and somebody announces it.
    this.#timers.push(setInterval(() => this.#stray(), strayMs));
    this.#reading = setInterval(() => this.#batches.forEach((batch) => void this.#read(batch)), readMs);
    for (const traffic of this.#options.traffic) {
      const perSecond = traffic.batchItems === undefined ? traffic.perSecond : traffic.perSecond / traffic.batchItems;
      this.#timers.push(
        setInterval(() => (traffic.batchItems === undefined ? this.ask(traffic) : void this.hand(traffic)), 1000 / perSecond),
      );
    }
  }

  /** Sends nothing more; what was handed in is still read. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
  }

  close(): Promise<void> {
    clearInterval(this.#reading);
    return this.#caller.close();
  }

  /** Whose batch an item's key belongs to. */
  quotaOf(key: string): string | undefined {
    return this.#quotas.get(key.split('/')[0] ?? '');
  }

  /** Hands in one batch, again under its key until it is told what became of it. */
  async hand(traffic: Traffic, items = traffic.batchItems ?? 1, quota = this.#pick(traffic.quotas)): Promise<void> {
    this.#handed += 1;
    const number = this.#handed;
    const key = `lot${number}`;
    const path = await this.#handUntilTold(key, key, traffic, items, quota, number % wrongOneOf === 3 ? 900_000 : traffic.padBytes);
    if (path === undefined) return;
    this.#batches.push({ key, path, readsLeft: 5 });
    if (number % endedOneOf === 2) setTimeout(() => void this.#end(key, path), 20 + this.#options.random() * 300);
    if (number % reusedOneOf === 1) await this.#handUntilTold(`${key}other`, key, traffic, items, quota, traffic.padBytes);
  }

  /** Ends every batch that is not done; how many were. */
  async endAll(): Promise<number> {
    const open = this.#batches.filter((batch) => batch.readsLeft > 0);
    await Promise.all(open.map((batch) => this.#end(batch.key, batch.path)));
    return open.length;
  }

  openBatches(): number {
    return this.#batches.filter((batch) => batch.readsLeft > 0).length;
  }

  ask(traffic: Traffic): void {
    this.#ask(traffic.service, this.#pick(traffic.quotas), traffic.padBytes);
  }

  #ask(service: string, quota: string, padBytes: number): void {
    const { note, idempotent, streamed } = this.#options;
    this.#sent += 1;
    const key = `task${this.#sent}`;
    const front = this.#pick(this.#ready);
    const kind = streamed.has(service) ? 'streamed' : 'whole';
    note({ type: 'sent', atMs: Date.now(), key, service, idempotent: idempotent.has(service), kind, quota, front });
    void this.#caller.ask(front, quota, service, key, padBytes);
  }

  #stray(): void {
    const [first] = this.#options.traffic;
    const [replica] = this.#options.fleet.replicas;
    if (first === undefined || replica === undefined) return;
    this.#ask('ghost', this.#pick(first.quotas), 10);
    const body = JSON.stringify({ service: 'ghost', address: replica.address, slots: 16, incarnation: Date.now(), state: 'serving' });
    const post = { method: 'POST', headers: { 'content-type': 'application/json' }, body, headersTimeout: 2000 } as const;
    request(`http://${this.#pick(this.#ready)}/v1/replicas`, post).then(
      (response) => response.body.dump(),
      () => undefined,
    );
  }

  async #handUntilTold(
    name: string,
    key: string,
    traffic: Traffic,
    items: number,
    quota: string,
    pad: number,
  ): Promise<string | undefined> {
    const { note, idempotent } = this.#options;
    const { service } = traffic;
    this.#quotas.set(name, quota);
    const ids = Array.from({ length: items }, (_, position) => `item${position}`);
    for (const id of ids) {
      note({ type: 'sent', atMs: Date.now(), key: `${name}/${id}`, service, idempotent: idempotent.has(service), kind: 'batch', quota });
    }
    // One item that is too dear is enough for the whole batch to be refused.
    const padOf = (position: number): number => (position === 0 ? pad : traffic.padBytes);
    const granted = ids.map((id, position) => ({ id, input: { key: `${name}/${id}`, pad: 'x'.repeat(padOf(position)) } }));
    const body = JSON.stringify({ service, items: granted });
    const headers = { 'content-type': 'application/json', branch: quota, 'idempotency-key': key };
    for (let attempts = 0; attempts < 30; attempts += 1) {
      const url = `http://${this.#pick(this.#ready)}/v1/lots`;
      const response = await request(url, { method: 'POST', headers, body, headersTimeout: 8000 }).catch(() => undefined);
      await response?.body.dump().catch(() => undefined);
      if (response?.statusCode === 201) {
        note({ type: 'batchAccepted', atMs: Date.now(), batch: name, quota, items: ids });
        return String(response.headers['location']);
      }
      if (response !== undefined && final.has(response.statusCode)) {
        note({ type: 'batchRefused', atMs: Date.now(), batch: name, items: ids });
        return undefined;
      }
      await new Promise((resolve) => setTimeout(resolve, 500));
    }
    return undefined;
  }

  #told(record: ToldRecord): void {
    const { key, outcome, status, wrong, atMs, pieces } = record;
    this.#options.note({ type: 'told', atMs, key, outcome, status, wrong, ...(pieces === undefined ? {} : { pieces: [...pieces] }) });
    this.#options.told(record);
  }

  async #end(key: string, path: string): Promise<void> {
    const response = await request(`http://${this.#pick(this.#ready)}${path}`, { method: 'DELETE', headersTimeout: 8000 }).catch(
      () => undefined,
    );
    await response?.body.dump().catch(() => undefined);
    if (response?.statusCode === 204) this.#options.note({ type: 'batchEnded', atMs: Date.now(), batch: key });
  }

  async #read(batch: OpenBatch): Promise<void> {
    if (batch.readsLeft === 0) return;
    const askedMs = Date.now();
    const response = await request(`http://${this.#pick(this.#ready)}${batch.path}/results`, { headersTimeout: 8000 }).catch(
      () => undefined,
    );
    const text = await response?.body.text().catch(() => undefined);
    const page =
      response?.statusCode === 200 && text !== undefined ? v.safeParse(v.pipe(v.string(), v.parseJson(), Page), text) : undefined;
    if (page?.success === true && page.output.done) batch.readsLeft -= 1;
    const results =
      page?.success === true
        ? page.output.results.map(({ id, state, output }) => ({ id, result: `${state} ${JSON.stringify(output)}` }))
        : [];
    const found = page?.success === true ? 'yes' : response?.statusCode === 404 ? 'no' : 'silent';
    this.#options.note({ type: 'batchRead', askedMs, atMs: Date.now(), batch: batch.key, found, results });
  }

  async #poll(): Promise<void> {
    const all = this.#options.fleet.fronts();
    const ready = await Promise.all(
      all.map(async (front) => {
        const response = await request(`http://${front}/ready`, { headersTimeout: 800, bodyTimeout: 800 }).catch(() => undefined);
        await response?.body.dump().catch(() => undefined);
        return response?.statusCode === 200 ? [front] : [];
      }),
    );
    if (ready.flat().length > 0) this.#ready = ready.flat();
  }

  #pick<T>(all: readonly T[]): T {
    const one = all[Math.floor(this.#options.random() * all.length)];
    if (one === undefined) throw new HarnessError('nothing to pick from');
    return one;
  }
}
