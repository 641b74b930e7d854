import * as v from 'valibot';
import { NodeName } from '@pewterlanding/model';
import type { OperatorApi } from '@pewterlanding/controller';
import { SimulationError } from '../errors/index.js';
import { CountedLosses } from './countedLosses.js';
import { SimConfigurationClient } from './simConfigurationClient.js';
import { SimFleet } from './simFleet.js';
import type { SimEnvironmentOptions } from './simEnvironmentOptions.js';
import type { SimReplica } from './simReplica.js';
import { simConfiguration } from './simConfiguration.js';
import { SimTraffic } from './simTraffic.js';

const model = {
  ask: { kind: 'streamed', runMs: 400, pieces: 5 },
  tag: { kind: 'streamed', runMs: 500, pieces: 4 },
  sheet: { kind: 'whole', runMs: 500, pieces: 1 },
  memo: { kind: 'whole', runMs: 200, pieces: 1 },
  ghost: { kind: 'whole', runMs: 100, pieces: 1 },
} as const;
/** Addresses at which replicas may be added. */
const spareReplicas = 8;
/** Where machines that are added stand, and what they are called. */
const newMachines = {
  controller: { net: 21, prefix: 'core' },
  store: { net: 31, prefix: 'store' },
  front: { net: 11, prefix: 'front' },
} as const;
/** A machine that says that it goes is given so long. */
const leavingMs = 4000;
const book = { book: { kind: 'whole', runMs: 60, pieces: 1 } } as const;

/** What faults and scenarios work with: a fleet in virtual time, its traffic, and the operations that an operator has on both. */
export class SimEnvironment {
  readonly fleet: SimFleet;
  readonly traffic: SimTraffic;
  /** The replicas' IP numbers. */
  readonly hosts: readonly string[];
  /** The configuration that the fleet starts with. */
  protected readonly configuration: Record<string, unknown>;
  protected readonly requestsPerMinute: number;
  protected readonly configurationClient: SimConfigurationClient;
  /** What is lost at the moment, so that faults never take more than is survived. */
  readonly losses: CountedLosses;
  #added = 0;

  constructor(options: SimEnvironmentOptions) {
    const { fronts = 4, stores = 3, tasks = 30, batches = 1, itemsPerBatch = 5, requestsPerMinute = 12_000, freshnessMs = 4000 } = options;
    const replicas = Array.from({ length: options.models ?? 5 }, () => ({ slots: 16, services: model }));
    this.requestsPerMinute = requestsPerMinute;
    this.fleet = new SimFleet({
      seed: options.seed,
      fronts,
      stores,
      controllers: options.controllers,
      replicas: [...replicas, { slots: 6, services: book }, { slots: 6, services: book }],
      items: options.items,
      trace: options.trace,
      ...(options.joining === undefined ? {} : { joining: options.joining }),
    });
    this.hosts = Array.from({ length: this.fleet.replicas.size + spareReplicas }, (_, position) => `127.0.40.${position + 1}`);
    this.configurationClient = new SimConfigurationClient(this.fleet);
    this.losses = new CountedLosses(this.fleet.time, options.tolerance ?? 1);
    this.configuration = simConfiguration({
      stores: 3,
      fronts,
      hosts: this.hosts,
      requestsPerMinute,
      freshnessMs,
      joining: options.joining !== undefined,
    });
    this.traffic = new SimTraffic(this.fleet, { tasks, batches, itemsPerBatch, endOneOf: 5, batchShards: 3 });
  }

  /** Lets so much time go by. */
  async advance(waitMs: number): Promise<void> {
    await this.fleet.time.runTo(this.fleet.time.nowMs + waitMs);
  }

  /** Lets time go by until something has come about, a millisecond at a time. */
  async advanceUntilSettled<T>(coming: Promise<T>, timeoutMs: number): Promise<T> {
    let over = false;
    const done = coming.finally(() => {
      over = true;
    });
    done.catch(() => undefined);
    for (let waitedMs = 0; !over && waitedMs < timeoutMs; waitedMs += 1) await this.advance(1);
    if (!over) throw new SimulationError(`not in ${timeoutMs} ms of virtual time`);
    return done;
  }

  /** Lets time go by until something has come about, or its time is over: then the history has to show what became of it. */
  async advanceAtMost(coming: Promise<unknown>, timeoutMs: number): Promise<void> {
    await this.advanceUntilSettled(coming, timeoutMs).catch(() => undefined);
  }

  /** The store machine that leads a shard of the batches, or any. */
  async batchLeader(shard: string): Promise<string> {
    for (const host of this.fleet.named('store')) {
      const kept = (await host.process?.store?.shards()) ?? [];
      if (kept.some(({ member }) => member.shard === shard && member.isLeader)) return host.machine.name;
    }
    return this.fleet.named('store')[0]?.machine.name ?? 'store-1';
  }

  /** Does something after a while of virtual time; the scenario goes on meanwhile. */
  schedule(waitMs: number, run: () => void): void {
    this.fleet.time.after(waitMs, run);
  }

  pickRandom<T>(all: readonly T[]): T {
    const one = all[Math.floor(this.fleet.random() * all.length)];
    if (one === undefined) throw new SimulationError('nothing to pick from');
    return one;
  }

  /** The controller machine that leads the configuration shard, or any. */
  configurationLeader(): string {
    const controllers = this.fleet.named('controller');
    return (controllers.find((host) => host.process?.controller?.member?.isLeader === true) ?? controllers[0])?.machine.name ?? 'core-1';
  }

  /** The controller machine that holds the dispatcher's duty, or any. */
  dispatcher(): string {
    const controllers = this.fleet.named('controller');
    return (controllers.find((host) => host.process?.controller?.dispatcher !== undefined) ?? controllers[0])?.machine.name ?? 'core-1';
  }

  /** A machine's process ends gracefully: what it holds is handed on first. */
  shutDown(name: string): void {
    this.fleet.shutDown(name);
  }

  /** The names of all machines of a role. */
  machines(role: 'controller' | 'store' | 'front'): readonly string[] {
    return this.fleet.named(role).map((host) => host.machine.name);
  }

  /** Starts a machine's process again after a while, unless something else did. */
  scheduleRestart(name: string, afterMs: number): void {
    this.schedule(afterMs, () => {
      if (this.fleet.hosts.has(name) && this.fleet.host(name).process === undefined) this.fleet.start(name);
    });
  }

  /** A new machine of a role, at an address that nobody had, not yet started. Returns its name. */
  addMachine(role: 'controller' | 'store' | 'front'): string {
    this.#added += 1;
    const { net, prefix } = newMachines[role];
    return this.fleet.addHost(role, `${prefix}-new-${this.#added}`, `127.0.${net}.${this.#added}`).machine.name;
  }

  /** One more replica like another, while there are addresses that the configuration allows. */
  addReplica(like: SimReplica): SimReplica | undefined {
    return this.fleet.replicas.size < this.hosts.length ? this.fleet.addReplica(like) : undefined;
  }

  /** A machine ends gracefully and is gone for good a while later. */
  decommission(name: string): void {
    if (!this.fleet.hosts.has(name)) return;
    this.fleet.shutDown(name);
    this.schedule(leavingMs, () => this.fleet.remove(name));
  }

  /** Has a store emptied, and takes it away with its disk as soon as it is told that it may. Says whether that came about. */
  async emptyAndRemove(name: string, timeoutMs = 20_000): Promise<boolean> {
    const untilMs = this.fleet.time.nowMs + timeoutMs;
    const operatorApi = (): OperatorApi | undefined => this.pickRandom(this.fleet.named('controller')).process?.operatorApi;
    const store = v.parse(NodeName, name);
    while (this.fleet.time.nowMs < untilMs) {
      await new Promise<void>((resolve) => this.schedule(100, resolve));
      const started = await operatorApi()
        ?.empty(store)
        .catch(() => undefined);
      const settled =
        started === 'started'
          ? await operatorApi()
              ?.emptied(store)
              .catch(() => undefined)
          : undefined;
      if (settled !== 'settled') continue;
      if (this.fleet.hosts.has(name)) this.fleet.remove(name);
      this.noteFault(`${name} was emptied and is taken away`);
      return true;
    }
    return false;
  }

  noteFault(what: string): void {
    this.fleet.note({ type: 'faulted', atMs: this.fleet.time.nowMs, what });
  }

  /** Plans and confirms a change; the history records the result, which is returned. */
  changeConfiguration(proposal: Record<string, unknown>, at?: string): Promise<string> {
    return this.configurationClient.change(proposal, at);
  }

  /** Reads the configuration back and records it, at one controller or at any. */
  readConfiguration(at?: string): Promise<void> {
    return this.configurationClient.read(at);
  }
}
