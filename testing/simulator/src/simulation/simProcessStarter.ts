import * as v from 'valibot';
import { Agent } from '@pewterlanding/agent';
import { Controller, OperatorApi } from '@pewterlanding/controller';
import { Membership } from '@pewterlanding/membership';
import type { NodeRecord } from '@pewterlanding/membership';
import { NodeName, ZoneName } from '@pewterlanding/model';
import type { Address } from '@pewterlanding/model';
import { FrontProxy } from '@pewterlanding/proxy';
import type { ItemTransport } from '@pewterlanding/proxy';
import { quietLog } from '@pewterlanding/runtime';
import type { Log } from '@pewterlanding/runtime';
import { BatchStore } from '@pewterlanding/store';
import { SimClock } from '../engine/index.js';
import type { SimTime } from '../engine/index.js';
import type { HistoryEvent } from '../history/index.js';
import { SimTransport } from '../network/index.js';
import type { SimNet } from '../network/index.js';
import type { SimHost } from './simHost.js';
import type { SimProcess } from './simProcess.js';
import type { SimReplica } from './simReplica.js';
import { SimReplicaTransport } from './simReplicaTransport.js';

interface SimProcessStarterOptions {
  readonly time: SimTime;
  readonly net: SimNet;
  readonly random: () => number;
  readonly replicas: Map<Address, SimReplica>;
  readonly items: ItemTransport | undefined;
  readonly joining: { readonly copies: number } | undefined;
  readonly trace: ((line: string) => void) | undefined;
  /** Where machines join: whether the fleet starts for the very first time. */
  readonly bootstrap: () => boolean;
  readonly note: (event: HistoryEvent) => void;
  readonly kill: (name: string) => void;
}

const heartbeatMs = 250;
const failureTimeoutMs = 1000;

/** Starts the shipped classes of each role on simulated machines. */
export class SimProcessStarter {
  readonly #options: SimProcessStarterOptions;
  #minted = 0;

  constructor(options: SimProcessStarterOptions) {
    this.#options = options;
  }

  startStateMachineHost(host: SimHost, process: SimProcess): void {
    const { machine, disk } = host;
    const { instance, counters } = process;
    const clock = new SimClock(this.#options.time, machine, instance);
    const transport = new SimTransport({ here: host.address, machine, instance, clock, counters, net: this.#options.net });
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
      fatal: () => this.#options.kill(machine.name),
      mintMemberId: () => this.#mint(),
    };
    if (host.role === 'controller') {
      const joining = this.#options.joining === undefined ? {} : { ...this.#options.joining, bootstrap: this.#options.bootstrap() };
      const controller = new Controller({ ...shared, heartbeatMs, seeds: process.seeds, ...joining });
      process.controller = controller;
      process.operatorApi = new OperatorApi({ finder: controller.finder, clock, waitMs: failureTimeoutMs * 15 });
      controller.start().catch((error: unknown) => {
        this.#options.trace?.(`${machine.name} ${String(error)}`);
        // Unless this instance has ended, the program ends over it, as the shipped one does.
        if (!instance.dead) this.#options.kill(machine.name);
      });
    } else process.store = new BatchStore(shared);
  }

  startFront(host: SimHost, process: SimProcess): void {
    const { machine } = host;
    const { instance, counters } = process;
    const clock = new SimClock(this.#options.time, machine, instance);
    const log = this.#log(machine.name);
    const transport = new SimTransport({ here: host.address, machine, instance, clock, counters, net: this.#options.net });
    const membership = this.#membership(host, process, 'agent', clock, transport, log);
    process.agent = new Agent({ membership, clock, transport, proxy: host.proxyAddress, heartbeatMs, counters, log });
    const replicas = new SimReplicaTransport({
      machine,
      instance,
      clock,
      time: this.#options.time,
      net: this.#options.net,
      random: this.#options.random,
      replicas: this.#options.replicas,
      note: (one) => this.#options.note(one),
    });
    process.proxy = new FrontProxy({
      front: membership.name,
      instance: this.#mint(),
      zone: machine.zone,
      agent: host.address,
      seeds: process.seeds,
      clock,
      transport: new SimTransport({ here: host.proxyAddress, machine, instance, clock, counters, net: this.#options.net }),
      replicas,
      items: this.#options.items,
      random: this.#options.random,
      heartbeatMs,
      failureTimeoutMs,
      counters,
      log,
    });
  }

  #membership(
    host: SimHost,
    process: SimProcess,
    role: NodeRecord['role'],
    clock: SimClock,
    transport: SimTransport,
    log: Log,
  ): Membership {
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
    const { trace } = this.#options;
    if (trace === undefined) return quietLog;
    const print = (line: string): void => trace(`${(this.#options.time.nowMs / 1000).toFixed(3)} ${name} ${line}`);
    return { info: print, warn: print, error: print };
  }
}
