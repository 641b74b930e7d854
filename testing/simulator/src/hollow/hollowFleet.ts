import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as v from 'valibot';
import type { NodeName } from '@pewterlanding/model';
import { HarnessError } from '../errors/index.js';
import type { HollowOptions } from './hollowOptions.js';
import type { HollowRequest } from './hollowRequest.js';
import type { HollowPlace } from './hollowPlace.js';
import { hollowPlaces } from './hollowPlaces.js';
import { HollowResponse } from './hollowResponse.js';
import { monotonicMs } from './monotonicMs.js';

const workers = 3;
const heapMb = 3000;
const lookMs = 100;
const Envelope = v.strictObject({ id: v.number(), word: HollowResponse });

/** A hollow fleet in three processes, as its driver holds it: controllers and stores in the first, fronts in the others. */
export class HollowFleet {
  readonly places: readonly HollowPlace[];
  readonly begunMs = monotonicMs();
  readonly #options: HollowOptions;
  readonly #children: ChildProcess[] = [];
  readonly #waiting = new Map<number, (word: HollowResponse) => void>();
  readonly #away = new Set<NodeName>();
  #orders = 0;

  private constructor(options: HollowOptions) {
    this.#options = options;
    this.places = hollowPlaces(options.size, options.controllers, options.net);
  }

  static async begin(options: Omit<HollowOptions, 'folder'>): Promise<HollowFleet> {
    const fleet = new HollowFleet({ ...options, folder: await mkdtemp(join(tmpdir(), 'hollow-')) });
    for (let worker = 0; worker < workers; worker += 1) fleet.#children.push(fleet.#fork());
    await Promise.all(fleet.#children.map((_, worker) => fleet.#order(worker, { kind: 'begin', worker, options: fleet.#options })));
    return fleet;
  }

  async end(): Promise<void> {
    await Promise.all(
      this.#children.map((child) => {
        const over = new Promise((resolve) => child.once('exit', resolve));
        child.disconnect();
        return over;
      }),
    );
    await rm(this.#options.folder, { recursive: true, force: true });
  }

  names(which: (place: HollowPlace) => boolean): readonly NodeName[] {
    return this.places.filter(which).map((place) => place.name);
  }

  /** Kills, starts or lets go these nodes. Returns when that was done. */
  async act(t: 'kill' | 'start' | 'leave', names: readonly NodeName[]): Promise<number> {
    for (const name of names) if (t === 'start') this.#away.delete(name);
    for (const name of names) if (t !== 'start') this.#away.add(name);
    const words = await Promise.all(
      this.#children.map((_, worker) =>
        this.#order(worker, {
          kind: t,
          names: this.places.filter((place) => place.worker === worker && names.includes(place.name)).map((place) => place.name),
        }),
      ),
    );
    return Math.max(...words.map((word) => word.atMs ?? 0));
  }

  async part(regions: readonly number[]): Promise<number> {
    const words = await Promise.all(this.#children.map((_, worker) => this.#order(worker, { kind: 'part', regions: [...regions] })));
    return Math.max(...words.map((word) => word.atMs ?? 0));
  }

  /** Puts a word on one board. Returns how long it took until every node that is here heard it. */
  async spread(name: NodeName, key: string, timeoutMs: number): Promise<number | undefined> {
    const worker = this.places.find((place) => place.name === name)?.worker ?? 0;
    const { atMs = 0 } = await this.#order(worker, { kind: 'put', name, key });
    return this.#heard(key, atMs, timeoutMs);
  }

  /** Confirms a configuration: how long until it is in force, and until every node heard it. */
  async confirm(outputTokens: number, timeoutMs: number) {
    const word = await this.#order(0, { kind: 'confirm', outputTokens });
    const heardMs = await this.#heard(`setup/${word.counts?.['version'] ?? 0}`, word.atMs ?? 0, timeoutMs);
    return { inForceMs: word.counts?.['tookMs'] ?? 0, heardMs };
  }

  /** How long after `sinceMs` every node that is here holds exactly those to be here, and (where asked) all boards are equal. */
  async agree(sinceMs: number, timeoutMs: number, equal = true): Promise<number | undefined> {
    while (monotonicMs() - sinceMs < timeoutMs) {
      const views = await this.views();
      const want = this.places.length - this.#away.size;
      const here = views.filter((view) => !this.#away.has(this.#name(view.name)));
      const same = !equal || new Set(here.map((view) => view.checksum)).size === 1;
      if (here.length === want && same && here.every((view) => view.live === want)) return monotonicMs() - sinceMs;
      await new Promise((resolve) => setTimeout(resolve, lookMs));
    }
    return undefined;
  }

  async views() {
    const words = await Promise.all(this.#children.map((_, worker) => this.#order(worker, { kind: 'view' })));
    return words.flatMap((word) => word.views ?? []);
  }

  meters(): Promise<readonly HollowResponse[]> {
    return Promise.all(this.#children.map((_, worker) => this.#order(worker, { kind: 'meter' })));
  }

  #name(text: string): NodeName {
    const place = this.places.find((one) => one.name === text);
    if (place === undefined) throw new HarnessError(`no node ${text}`);
    return place.name;
  }

  async #heard(key: string, atMs: number, timeoutMs: number): Promise<number | undefined> {
    for (;;) {
      const words = await Promise.all(this.#children.map((_, worker) => this.#order(worker, { kind: 'arrivals', key })));
      const times = words.flatMap((word) => Object.values(word.arrivals ?? {})).map((one) => one - atMs);
      if (times.length >= this.places.length - this.#away.size) return Math.max(...times);
      if (monotonicMs() - atMs > timeoutMs) return undefined;
      await new Promise((resolve) => setTimeout(resolve, lookMs));
    }
  }

  #fork(): ChildProcess {
    const child = fork(fileURLToPath(new URL('hollowWorker.js', import.meta.url)), [], {
      execArgv: [`--max-old-space-size=${heapMb}`, ...process.execArgv],
    });
    child.on('message', (message) => {
      const { id, word } = v.parse(Envelope, message);
      this.#waiting.get(id)?.(word);
      this.#waiting.delete(id);
    });
    return child;
  }

  async #order(worker: number, order: HollowRequest): Promise<HollowResponse> {
    this.#orders += 1;
    const id = this.#orders;
    const word = await new Promise<HollowResponse>((resolve) => {
      this.#waiting.set(id, resolve);
      this.#children[worker]?.send({ id, order });
    });
    if (word.failed !== undefined) throw new HarnessError(`${order.kind}: ${word.failed}`);
    return word;
  }
}
