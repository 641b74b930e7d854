import * as v from 'valibot';
import { Replica } from '@pewterlanding/agent';
import type { FrontProxy } from '@pewterlanding/proxy';
import type { ItemTransport } from '@pewterlanding/proxy';
import { Address, ZoneName } from '@pewterlanding/model';
import { Counters, seededRandom } from '@pewterlanding/runtime';
import { SimulationError } from '../errors/index.js';
import type { HistoryEvent } from '../history/index.js';
import { Instance, SimMachine, SimTime } from '../engine/index.js';
import { SimDisk } from '../disk/index.js';
import { SimNet } from '../network/index.js';
import type { SimReplica } from './simReplica.js';
import type { SimHost } from './simHost.js';
import type { SimProcess } from './simProcess.js';
import { SimProcessStarter } from './simProcessStarter.js';

type Role = SimHost['role'];

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

const zones = ['a', 'b', 'c'];

/** A whole fleet in virtual time, made of the classes that ship. */
export class SimFleet {
  readonly time = new SimTime();
  readonly random: () => number;
  readonly net: SimNet;
  readonly history: HistoryEvent[] = [];
  readonly hosts = new Map<string, SimHost>();
  readonly replicas = new Map<Address, SimReplica>();
  /** The seeds as the settings name them now; a running program has those of its start until it reads them again. */
  seeds: readonly Address[];
  /** Where machines join: whether the fleet starts for the very first time. */
  bootstrap = true;
  readonly #starter: SimProcessStarter;

  constructor(options: SimFleetOptions) {
    this.random = seededRandom(options.seed);
    this.net = new SimNet(this.time, this.random);
    this.#starter = new SimProcessStarter({
      time: this.time,
      net: this.net,
      random: this.random,
      replicas: this.replicas,
      items: options.items,
      joining: options.joining,
      trace: options.trace,
      bootstrap: () => this.bootstrap,
      note: (event) => this.note(event),
      kill: (name) => this.kill(name),
    });
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
    if (host === undefined) throw new SimulationError(`no machine ${name}`);
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
    const process: SimProcess = { instance, counters: new Counters(), seeds: [...this.seeds] };
    host.process = process;
    host.machine.run(() => {
      if (host.role === 'front') this.#starter.startFront(host, process);
      else this.#starter.startStateMachineHost(host, process);
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

  /** The process ends gracefully, as on the first signal; it is over a moment later. */
  shutDown(name: string): void {
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
}

function address(text: string): Address {
  return v.parse(Address, text);
}
