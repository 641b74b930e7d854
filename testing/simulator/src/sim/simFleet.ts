import * as v from 'valibot';
import { Agent, Replica } from '@pewterlanding/agent';
import { Controller, OperatorApi } from '@pewterlanding/controller';
import { FrontProxy } from '@pewterlanding/proxy';
import type { ItemTransport } from '@pewterlanding/proxy';
import { Membership } from '@pewterlanding/membership';
import type { NodeRecord } from '@pewterlanding/membership';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import { Counters, quietLog, seededRandom } from '@pewterlanding/runtime';
import type { Log } from '@pewterlanding/runtime';
import { BatchStore } from '@pewterlanding/store';
import type { HistoryEvent } from '../history/historyEvent.js';
import { Instance } from './instance.js';
import { SimClock } from './simClock.js';
import { SimDisk } from './simDisk.js';
import { SimMachine } from './simMachine.js';
import { SimNet } from './simNet.js';
import type { SimReplica } from './simReplica.js';
import { SimReplicaTransport } from './simReplicaTransport.js';
import { SimTime } from './simTime.js';
import { SimTransport } from './simTransport.js';

type Role = 'controller' | 'store' | 'front';

interface Process {
  instance: Instance;
  readonly counters: Counters;
  controller?: Controller;
  store?: BatchStore;
  proxy?: FrontProxy;
  agent?: Agent;
  operatorApi?: OperatorApi;
  /** The list that the running program holds; a reload changes it in place. */
  readonly seeds: Address[];
}

interface SimHost {
  readonly role: Role;
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  readonly address: Address;
  readonly proxyAddress: Address;
  process: Process | undefined;
}

interface SimFleetOptions {
  readonly seed: number;
  readonly fronts: number;
  readonly stores: number;
  readonly controllers?: number;
  readonly replicas: readonly { readonly slots: number; readonly services: SimReplica['services'] }[];
  /** The way of opaque items to replicas, for all fronts. */
  readonly items?: ItemTransport | undefined;
  readonly trace?: (line: string) => void;
  /** Machines join by announcing themselves; so many copies of every shard. */
  readonly joining?: { readonly copies: number };
}

const heartbeatMs = 250;
const failureTimeoutMs = 1000;
const zones = ['a', 'b', 'c'];

/** A whole fleet in virtual time, made of the classes that ship. */
export class SimFleet {
  readonly time = new SimTime();
  readonly random: () => number;
  readonly net: SimNet;
  readonly history: HistoryEvent[] = [];
  readonly hosts = new Map<string, SimHost>();
  readonly replicas = new Map<Address, SimReplica>();
  readonly #trace: ((line: string) => void) | undefined;
  readonly #items: ItemTransport | undefined;
  readonly #joining: SimFleetOptions['joining'];
  /** The seeds as the settings name them now; a running program has those of its start until it reads them again. */
  seeds: readonly Address[];
  /** Where machines join: whether the fleet starts for the very first time. */
  bootstrap = true;
  #minted = 0;

  constructor(options: SimFleetOptions) {
    this.random = seededRandom(options.seed);
    this.net = new SimNet(this.time, this.random);
    this.#trace = options.trace;
    this.#items = options.items;
    this.#joining = options.joining;
    this.seeds = [1, 2, 3].map((number) => address(`127.0.20.${number}:7000`));
    for (let number = 1; number <= (options.controllers ?? 3); number += 1)
      this.addHost('controller', `core-${number}`, `127.0.20.${number}`);
    for (let number = 1; number <= options.stores; number += 1) this.addHost('store', `store-${number}`, `127.0.30.${number}`);
    for (let number = 1; number <= options.fronts; number += 1) this.addHost('front', `front-${number}`, `127.0.10.${number}`);
    for (const replica of options.replicas) this.addReplica(replica);
  }

  /** A replica that has not started yet, at the next free address. */
  addReplica({ slots, services }: Pick<SimReplica, 'slots' | 'services'>): SimReplica {
    const number = this.replicas.size + 1;
    const where = address(`127.0.40.${number}:9000`);
    const machine = new SimMachine(`replica-${number}`, zones[(number - 1) % 3] ?? 'a', 0, this.time);
    const instance = new Instance();
    instance.end();
    const replica = {
      slots,
      services,
      address: where,
      machine,
      instance,
      incarnation: 1000,
      running: 0,
      runs: 0,
      announcing: false,
      claimRatio: 1,
    };
    this.replicas.set(where, replica);
    return replica;
  }

  addHost(role: Role, name: string, ip: string): SimHost {
    const zone = zones[this.hosts.size % 3] ?? 'a';
    const machine = new SimMachine(name, zone, Math.floor((this.random() - 0.5) * 200), this.time);
    const host: SimHost = {
      role,
      machine,
      disk: new SimDisk(this.time, this.random),
      address: address(`${ip}:7000`),
      proxyAddress: address(`${ip}:7001`),
      process: undefined,
    };
    this.hosts.set(name, host);
    return host;
  }

  host(name: string): SimHost {
    const host = this.hosts.get(name);
    if (host === undefined) throw new Error(`no machine ${name}`);
    return host;
  }

  named(role: Role): readonly SimHost[] {
    return [...this.hosts.values()].filter((host) => host.role === role);
  }

  note(historyEvent: HistoryEvent): void {
    this.history.push(historyEvent);
  }

  start(name: string): void {
    const host = this.host(name);
    host.machine.powered = true;
    const instance = new Instance();
    const process: Process = { instance, counters: new Counters(), seeds: [...this.seeds] };
    host.process = process;
    host.machine.run(() => {
      if (host.role === 'front') this.#startFront(host, process);
      else this.#startKeeper(host, process);
    });
  }

  /** The process ends at once; what the system had not written may be torn. */
  kill(name: string): void {
    const { process } = this.host(name);
    process?.instance.end();
    process?.controller?.close();
    process?.store?.close();
    process?.proxy?.close();
    process?.agent?.close();
    this.host(name).process = undefined;
  }

  /** The machine loses its power: its process ends, and nothing answers at its address any more. */
  powerOff(name: string): void {
    this.kill(name);
    this.host(name).machine.powered = false;
  }

  /** The machine is gone for good, if it was not yet. */
  remove(name: string): void {
    if (!this.hosts.has(name)) return;
    this.powerOff(name);
    this.hosts.delete(name);
  }

  /** The process reads its settings again, as on the signal for that. */
  reload(name: string): void {
    const { seeds } = this.hosts.get(name)?.process ?? {};
    seeds?.splice(0, seeds.length, ...this.seeds);
  }

  /** The process ends politely, as on the first signal; it is over a moment later. */
  leave(name: string): void {
    const { process, machine } = this.hosts.get(name) ?? {};
    if (process === undefined || machine === undefined) return;
    const over = process.controller?.leave() ?? process.store?.leave() ?? Promise.resolve();
    void over.finally(() => {
      if (this.hosts.get(name)?.process === process) this.kill(machine.name);
    });
  }

  startReplica(replica: SimReplica, announceTo: () => FrontProxy | undefined): void {
    replica.instance = new Instance();
    replica.incarnation += 1;
    replica.running = 0;
    replica.announcing = true;
    const { instance, incarnation } = replica;
    this.note({ type: 'replicaBegins', atMs: this.time.nowMs, replica: replica.address });
    const announce = (): void => {
      if (instance.dead || !replica.announcing) return;
      replica.machine.run(() => {
        if (!instance.dead) this.announce(replica, incarnation, 'serving', announceTo());
      });
      this.time.after(1000, announce);
    };
    announce();
  }

  announce(replica: SimReplica, incarnation: number, state: 'serving' | 'leaving', proxy: FrontProxy | undefined): boolean {
    if (proxy === undefined) return false;
    const zone = v.parse(ZoneName, replica.machine.zone);
    const told = Object.keys(replica.services).map((service) =>
      proxy.announce(
        v.parse(Replica, {
          service,
          address: replica.address,
          zone,
          slots: Math.ceil(replica.slots * replica.claimRatio),
          incarnation,
          state,
        }),
      ),
    );
    return told.every((one, position) => one === 'accepted' || Object.keys(replica.services)[position] === 'ghost');
  }

  #startKeeper(host: SimHost, process: Process): void {
    const { machine, disk } = host;
    const { instance, counters } = process;
    const clock = new SimClock(this.time, machine, instance);
    const transport = new SimTransport({ here: host.address, machine, instance, clock, counters, net: this.net });
    const log = this.#log(machine.name);
    const membership = this.#membership(host, process, host.role === 'controller' ? 'controller' : 'store', clock, transport, log);
    const bounds = { failureTimeoutMs, compactBytes: 64 << 10 };
    const shared = {
      membership,
      clock,
      transport,
      disk: disk.open(instance),
      bounds,
      counters,
      log,
      fatal: () => this.kill(machine.name),
      mintMemberId: () => this.#mint(),
    };
    if (host.role === 'controller') {
      const joining = this.#joining === undefined ? {} : { ...this.#joining, bootstrap: this.bootstrap };
      const controller = new Controller({ ...shared, heartbeatMs, seeds: process.seeds, ...joining });
      process.controller = controller;
      process.operatorApi = new OperatorApi({ finder: controller.finder, clock, waitMs: failureTimeoutMs * 15 });
      controller.start().catch((error: unknown) => {
        this.#trace?.(`${machine.name} ${String(error)}`);
        // Unless this life is over, the program ends over it, as the shipped one does.
        if (!instance.dead) this.kill(machine.name);
      });
    } else process.store = new BatchStore(shared);
  }

  #startFront(host: SimHost, process: Process): void {
    const { machine } = host;
    const { instance, counters } = process;
    const clock = new SimClock(this.time, machine, instance);
    const log = this.#log(machine.name);
    const transport = new SimTransport({ here: host.address, machine, instance, clock, counters, net: this.net });
    const membership = this.#membership(host, process, 'agent', clock, transport, log);
    process.agent = new Agent({ membership, clock, transport, proxy: host.proxyAddress, heartbeatMs, counters, log });
    const replicas = new SimReplicaTransport({
      machine,
      instance,
      clock,
      time: this.time,
      net: this.net,
      random: this.random,
      replicas: this.replicas,
      note: (one) => this.note(one),
    });
    process.proxy = new FrontProxy({
      front: membership.name,
      instance: this.#mint(),
      zone: machine.zone,
      agent: host.address,
      seeds: process.seeds,
      clock,
      transport: new SimTransport({ here: host.proxyAddress, machine, instance, clock, counters, net: this.net }),
      replicas,
      items: this.#items,
      random: this.random,
      heartbeatMs,
      failureTimeoutMs,
      counters,
      log,
    });
  }

  #membership(host: SimHost, process: Process, role: NodeRecord['role'], clock: SimClock, transport: SimTransport, log: Log): Membership {
    const { seeds, counters } = process;
    const nodeRecord = {
      name: v.parse(NodeName, host.machine.name),
      role,
      zone: v.parse(ZoneName, host.machine.zone),
      address: host.address,
    };
    return new Membership({ nodeRecord, seeds, clock, transport, bounds: { heartbeatMs, failureTimeoutMs, watchers: 3 }, counters, log });
  }

  #mint(): string {
    this.#minted += 1;
    return `m${this.#minted}`;
  }

  #log(name: string): Log {
    const trace = this.#trace;
    if (trace === undefined) return quietLog;
    const say = (line: string): void => trace(`${(this.time.nowMs / 1000).toFixed(3)} ${name} ${line}`);
    return { info: say, warn: say, error: say };
  }
}

function address(text: string): Address {
  return v.parse(Address, text);
}
