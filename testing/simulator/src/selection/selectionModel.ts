import * as v from 'valibot';
import type { Address } from '@pewterlanding/model';
import { Configuration, NodeName, ServiceName } from '@pewterlanding/model';
import type { Tables } from '@pewterlanding/proxy';
import { seededRandom } from '@pewterlanding/runtime';
import type { Clock } from '@pewterlanding/runtime';
import { SimTime } from '../engine/index.js';
import { ModelDispatcher } from './modelDispatcher.js';
import { ModelFront } from './modelFront.js';
import { ModelReplica } from './modelReplica.js';
import { modelTables } from './modelTables.js';
import { modelZone } from './modelZone.js';
import type { SelectionOutcome } from './selectionOutcome.js';
import type { SelectionWorkload } from './selectionWorkload.js';

const service = v.parse(ServiceName, 'engine');
const tickMs = 150;
const exchangeMs = 400;
/** Part of the target that a live request waits at a front, and the time that an item does. */
const liveWaitRatio = 0.2;
const itemWaitMs = 375;
/** From the choice of a replica to an item's start there: the start is committed first. */
const startMs = 5;
const never = new AbortController().signal;

interface LiveRequest {
  readonly promptTokens: number;
  readonly runMs: number;
  readonly document: string | undefined;
}

/**
 * Many fronts that share replicas without priorities and know each other's use only by late reports, in virtual time. The decisions are
 * those of the shipped classes: ReplicaSelector, batchCapacity.
 */
export class SelectionModel {
  readonly #workload: SelectionWorkload;
  readonly #time = new SimTime();
  readonly #random: () => number;
  readonly #replicas: readonly ModelReplica[];
  readonly #fronts: readonly ModelFront[];
  /** Clients reach fronts by hash: their shares of the load are uneven. */
  readonly #shares: readonly number[];
  readonly #dispatcher: ModelDispatcher;
  readonly #reports = new Map<ModelFront, ReadonlyMap<Address, number>>();
  readonly #sums = new Map<Address, number>();
  readonly #liveMs: number[] = [];
  readonly #documentMs: number[] = [];
  #refused = 0;
  #items = 0;
  #itemsLate = 0;

  constructor(workload: SelectionWorkload) {
    this.#workload = workload;
    this.#random = seededRandom(workload.seed);
    const { slotsOfReplica, promptTokensPerMs, memoryTokens, documents } = workload;
    const maxDocuments = Math.floor(memoryTokens / 2 / documents.sharedTokens);
    const replicaOptions = { time: this.#time, slots: slotsOfReplica, promptTokensPerMs, maxDocuments };
    this.#replicas = Array.from({ length: workload.replicas }, () => new ModelReplica(replicaOptions));
    const tables = modelTables(service, workload);
    const clock: Clock = {
      nowMs: () => this.#time.nowMs,
      wallMs: () => this.#time.nowMs,
      after: (waitMs, run) => this.#time.after(waitMs, run),
    };
    this.#fronts = Array.from({ length: workload.fronts }, (_, index) => this.#front(index, tables, clock));
    this.#shares = this.#fronts.map(() => -Math.log(1 - this.#random()));
    const { replicas } = workload;
    const configuration = tables.configuration ?? v.parse(Configuration, {});
    this.#dispatcher = new ModelDispatcher({
      service,
      fronts: this.#fronts,
      configuration,
      slots: replicas * slotsOfReplica,
      replicas,
      isStaffed: workload.isStaffed,
      nowMs: () => this.#time.nowMs,
      run: (front, { dueAtMs }) => this.#runItem(front, dueAtMs),
    });
  }

  async run(): Promise<SelectionOutcome> {
    const { live, documents, seconds, batches } = this.#workload;
    this.#repeat(tickMs, () => this.#dispatcher.tick());
    this.#repeat(exchangeMs, () => this.#dispatcher.exchange());
    this.#fronts.forEach((front, index) => {
      const { reportMs, fronts } = this.#workload;
      this.#time.after((index * reportMs) / fronts, () => this.#repeat(reportMs, () => this.#report(front)));
    });
    this.#arrivals(
      () => live.perS,
      () => void this.#runLive({ ...live, document: undefined }),
    );
    this.#arrivals(
      () => documents.perS,
      () => void this.#runLive({ ...documents, document: `${Math.floor(this.#random() * documents.count)}` }),
    );
    this.#arrivals(
      () => batches.perS * this.#crowdFactor(),
      () => this.#submit(),
    );
    await this.#time.runTo((seconds + batches.dueMs / 1000) * 1000);
    return this.#outcome();
  }

  #front(index: number, tables: Tables, clock: Clock): ModelFront {
    const { fronts, zones, idleMs, knowsConnections } = this.#workload;
    const name = v.parse(NodeName, `front-${index}`);
    const random = seededRandom(this.#workload.seed * 1000 + index);
    return new ModelFront({ name, zone: modelZone(index, zones), clock, random, tables, fronts, idleMs, knowsConnections });
  }

  #repeat(intervalMs: number, run: () => void): void {
    run();
    this.#time.after(intervalMs, () => this.#repeat(intervalMs, run));
  }

  /** Poisson arrivals while traffic lasts. */
  #arrivals(perS: () => number, arrive: () => void): void {
    const waitMs = (-Math.log(1 - this.#random()) / perS()) * 1000;
    this.#time.after(waitMs, () => {
      if (this.#time.nowMs > this.#workload.seconds * 1000) return;
      arrive();
      this.#arrivals(perS, arrive);
    });
  }

  #crowdFactor(): number {
    const { crowd } = this.#workload;
    const nowS = this.#time.nowMs / 1000;
    return crowd !== undefined && nowS >= crowd.fromS && nowS < crowd.fromS + crowd.forS ? crowd.factor : 1;
  }

  /** A front's requests in flight reach the others after the delay. */
  #report(front: ModelFront): void {
    const report = new Map(front.inFlight.all());
    this.#time.after(this.#workload.reportDelayMs, () => {
      for (const [address, count] of this.#reports.get(front) ?? []) this.#sums.set(address, (this.#sums.get(address) ?? 0) - count);
      for (const [address, count] of report) this.#sums.set(address, (this.#sums.get(address) ?? 0) + count);
      this.#reports.set(front, report);
      for (const one of this.#fronts) {
        const own = this.#reports.get(one);
        one.receive((address) => (this.#sums.get(address) ?? 0) - (own?.get(address) ?? 0));
      }
    });
  }

  #anyFront(): ModelFront {
    const total = this.#shares.reduce((sum, share) => sum + share, 0);
    let left = this.#random() * total;
    const index = this.#shares.findIndex((share) => (left -= share) < 0);
    const front = this.#fronts[Math.max(0, index)];
    if (front === undefined) throw new RangeError('a workload has at least one front');
    return front;
  }

  async #runLive({ promptTokens, runMs, document }: LiveRequest): Promise<void> {
    const { targetMs, documents } = this.#workload;
    const arrivedMs = this.#time.nowMs;
    const sharedTokens = document === undefined ? 0 : documents.sharedTokens;
    const front = this.#anyFront();
    const request = {
      ...requestOf('live', promptTokens + sharedTokens, runMs),
      shared: document ?? '',
      sharedTokens,
    };
    const selected = await front.selector.enter(request, targetMs * liveWaitRatio, never);
    if (selected === undefined) {
      this.#refused += 1;
      return;
    }
    front.connect(selected.key);
    this.#replicas[front.indexOf(selected.key)]?.submit({
      promptTokens,
      document,
      sharedTokens,
      runMs: runMs * this.#spread(),
      firstEvent: () => {
        selected.read();
        (document === undefined ? this.#liveMs : this.#documentMs).push(this.#time.nowMs - arrivedMs);
      },
      end: () => {
        front.release(selected.key);
        selected.leave('succeeded');
      },
    });
  }

  async #runItem(front: ModelFront, dueAtMs: number): Promise<boolean> {
    const { batches } = this.#workload;
    const selected = await front.selector.enter(requestOf('batch', itemPromptTokens, batches.runMs), itemWaitMs, never);
    if (selected === undefined) return false;
    return new Promise((resolve) => {
      this.#time.after(startMs, () => {
        front.connect(selected.key);
        this.#replicas[front.indexOf(selected.key)]?.submit({
          promptTokens: itemPromptTokens,
          document: undefined,
          sharedTokens: 0,
          runMs: batches.runMs * this.#spread(),
          firstEvent: () => selected.read(),
          end: () => {
            front.release(selected.key);
            selected.leave('succeeded');
            if (this.#time.nowMs > dueAtMs) this.#itemsLate += 1;
            resolve(true);
          },
        });
      });
    });
  }

  #submit(): void {
    const { batches, maxWaitingItems } = this.#workload;
    const count = 1 + Math.floor(this.#random() * 2 * batches.items);
    if (this.#dispatcher.waiting + count > maxWaitingItems) return;
    this.#items += count;
    const dueAtMs = this.#time.nowMs + batches.dueMs;
    const queuedAtMs = this.#time.nowMs;
    this.#dispatcher.add(Array.from({ length: count }, () => ({ queuedAtMs, dueAtMs })));
  }

  /** A factor of running times, between 0.4 and 1.6. */
  #spread(): number {
    return 0.4 + 1.2 * this.#random();
  }

  #outcome(): SelectionOutcome {
    const { targetMs } = this.#workload;
    const isLate = (latencyMs: number): boolean => latencyMs > targetMs;
    const sorted = [...this.#liveMs].sort((a, b) => a - b);
    return {
      live: this.#liveMs.length,
      liveLate: this.#liveMs.filter(isLate).length,
      liveRefused: this.#refused,
      liveP99Ms: Math.round(sorted[Math.floor(sorted.length * 0.99)] ?? 0),
      documents: this.#documentMs.length,
      documentsLate: this.#documentMs.filter((latencyMs) => latencyMs > targetMs * documentTargetRatio).length,
      tokensReadAgain: this.#replicas.reduce((sum, { tokensRead }) => sum + tokensRead, 0),
      items: this.#items,
      itemsLate: this.#itemsLate,
      connectionsOpened: this.#fronts.reduce((sum, { connectionsOpened }) => sum + connectionsOpened, 0),
    };
  }
}

const itemPromptTokens = 1200;
/** Requests with long documents have more time. */
const documentTargetRatio = 1.6;
/** Output tokens per millisecond of a run. */
const outputTokensPerMs = 0.5;

function requestOf(kind: 'live' | 'batch', promptTokens: number, runMs: number) {
  return {
    service,
    kind,
    urgency: kind === 'live' ? 0 : 7,
    model: undefined,
    promptTokens,
    outputTokens: Math.ceil(runMs * outputTokensPerMs),
    shared: '',
    sharedTokens: 0,
    without: new Set<string>(),
  };
}
