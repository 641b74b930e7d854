import { mkdir, rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import * as v from 'valibot';
import { Address, addressParts, check } from '@pewterlanding/model';
import type { BootSettings } from '@pewterlanding/runtime';
import { StandInReplica } from '@pewterlanding/stand-ins';
import type { RunRecord } from '@pewterlanding/stand-ins';
import { views } from '@pewterlanding/pewterctl';
import { HarnessError } from '../errors/index.js';
import { Daemon } from './daemon.js';
import type { Deployment } from './deployment.js';
import { Links } from './links.js';
import { pollUntil } from './pollUntil.js';

interface FleetOptions {
  readonly deployment: Deployment;
  readonly boots: ReadonlyMap<string, BootSettings>;
  readonly configuration: Readonly<Record<string, unknown>>;
  readonly folder: string;
  readonly random: () => number;
  readonly ran: (record: RunRecord) => void;
  /** With a relay before each process, as the boots' `advertise` says. */
  readonly links?: boolean;
}

interface Returned {
  readonly status: number;
  readonly body: unknown;
}

interface Added {
  readonly name: string;
  readonly address: Address;
  readonly zone: string;
}

type Program = Deployment['processes'][number]['program'];

const flagNames = ['fleet', 'name', 'zone', 'listen', 'advertise', 'http', 'beside', 'seeds', 'dataFolder', 'logLevel'];

/** A whole fleet of real processes on loopback addresses, with its stand-in replicas. */
export class Fleet {
  readonly daemons = new Map<string, Daemon>();
  readonly replicas: readonly StandInReplica[];
  readonly links: Links | undefined;
  readonly #options: FleetOptions;
  readonly #boots: Map<string, BootSettings>;
  readonly #programs = new Map<string, Program>();

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#boots = new Map(options.boots);
    this.links = options.links === true ? new Links() : undefined;
    for (const { program, bootSettings } of options.deployment.processes) this.#add(program, bootSettings);
    const fronts = this.fronts();
    const { random, ran } = options;
    this.replicas = options.deployment.replicas.map((replica) => new StandInReplica({ ...replica, fronts, announceMs: 1000, random, ran }));
  }

  fronts(): readonly Address[] {
    return this.#https('proxy');
  }

  controllers(): readonly Address[] {
    return this.#https('controller');
  }

  dataFolder(machine: string): string {
    return join(this.#options.folder, 'data', machine);
  }

  daemon(key: string): Daemon {
    const daemon = this.daemons.get(key);
    if (daemon === undefined) throw new HarnessError(`no process ${key}`);
    return daemon;
  }

  /** The IP number of a machine. */
  hostOf(machine: string): string {
    const bootSettings = this.#boots.get(machine) ?? this.#boots.get(`${machine}.agent`);
    if (bootSettings === undefined) throw new HarnessError(`no machine ${machine}`);
    return addressParts(bootSettings.listen).host;
  }

  /** Starts everything; resolves once the controller serves, with nothing confirmed yet. */
  async start(): Promise<void> {
    await mkdir(this.#options.folder, { recursive: true });
    await this.#relayAll();
    for (const daemon of this.daemons.values()) daemon.start();
    await pollUntil('the controller serves', async () => (await this.controller('GET', '/ready')).status === 200, 30_000);
  }

  /** Once a configuration is in force: waits for the fronts, and starts the replicas until every front knows them. */
  async open(): Promise<void> {
    await this.ready(30_000);
    for (const replica of this.replicas) await replica.start();
    const services = this.#options.deployment.replicas.reduce((sum, replica) => sum + Object.keys(replica.services).length, 0);
    const all = async (): Promise<boolean> =>
      (await Promise.all(this.fronts().map((front) => this.known(front)))).every((known) => known === services);
    await pollUntil('replicas are known to all', all, 15_000);
  }

  async ready(timeoutMs: number): Promise<void> {
    const all = async (): Promise<boolean> =>
      (await Promise.all(this.fronts().map((front) => ask('GET', front, '/ready')))).every((response) => response.status === 200);
    await pollUntil('every front is ready', all, timeoutMs);
  }

  /** Waits until the process at this boot serves: one that is told to end while it is still being loaded dies of the signal. */
  async serves(key: string, timeoutMs: number): Promise<void> {
    const http = this.#boots.get(key)?.http;
    if (http === undefined) throw new HarnessError(`no HTTP at ${key}`);
    const up = (): Promise<boolean> =>
      ask('GET', http, '/status').then(
        (response) => response.status === 200,
        () => false,
      );
    await pollUntil(`${key} serves`, up, timeoutMs);
  }

  /** Starts an empty machine of a kind, under the next free name and address. */
  async addMachine(kind: 'controller' | 'store'): Promise<Added> {
    const numbers = [...this.#boots.keys()].filter((key) => key.startsWith(`${kind}-`)).map((key) => Number(key.slice(kind.length + 1)));
    const number = Math.max(...numbers) + 1;
    const like = this.#boots.get(`${kind}-1`) ?? [...this.#boots.values()].find((bootSettings) => bootSettings.name.startsWith(`${kind}-`));
    if (like === undefined) throw new HarnessError(`no ${kind} to do as`);
    const name = `${kind}-${number}`;
    const moved = (address: Address | undefined) =>
      address === undefined ? undefined : v.parse(Address, address.replace(/\.\d+:/, `.${number}:`));
    const listen = v.parse(Address, moved(like.listen));
    const bootSettings = {
      ...like,
      name: v.parse(v.pipe(v.string(), v.brand('NodeName')), name),
      listen,
      advertise: moved(like.advertise),
      http: moved(like.http),
    };
    this.#boots.set(name, bootSettings);
    this.#add(kind === 'controller' ? 'controller' : 'store', name);
    if (bootSettings.advertise !== undefined) await this.links?.relay(bootSettings.advertise, listen);
    this.daemon(name).start();
    return { name, address: bootSettings.advertise ?? listen, zone: bootSettings.zone };
  }

  /** A machine that is gone for good. */
  forget(machine: string): void {
    this.daemons.delete(machine);
    this.#programs.delete(machine);
  }

  /** Whether any part has a group member on a machine, as the leaders tell it. */
  async sits(machine: string): Promise<boolean> {
    const read = check(views.shards, (await this.controller('GET', '/v1/shards')).body);
    if (!read.ok) return true;
    return read.value.shards.some(({ view }) => view === undefined || view.group.some((member) => member.identity.name === machine));
  }

  /** From now on each sync on a machine's disk takes so much longer. */
  async slowDisk(machine: string, syncMs: number): Promise<void> {
    await writeFile(this.daemon(machine).slowFile, String(syncMs));
  }

  /** Plans and confirms; the version in force, or undefined with anything else. */
  async confirm(proposal: unknown, acknowledged = false): Promise<number | undefined> {
    const plan = await this.controller('POST', '/v1/plans', proposal);
    const id = check(v.object({ id: v.string() }), plan.body);
    if (!id.ok) throw new HarnessError(`no plan: ${JSON.stringify(plan)}`);
    const response = await this.controller('POST', `/v1/plans/${id.value.id}/confirm`, { acknowledged });
    const read = check(v.object({ version: v.number() }), response.body);
    return response.status === 200 && read.ok ? read.value.version : undefined;
  }

  /** Asks the first controller machine that returns. */
  async controller(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Returned> {
    let last: unknown;
    for (const controller of this.controllers()) {
      try {
        const response = await ask(method, controller, path, body);
        if (response.status !== 503) return response;
        last = response.body;
      } catch (error) {
        last = error;
      }
    }
    throw new HarnessError(`no controller machine returns: ${JSON.stringify(last)}`);
  }

  async known(front: Address): Promise<number> {
    const response = check(v.object({ replicas: v.array(v.unknown()) }), (await ask('GET', front, '/status')).body);
    return response.ok ? response.value.replicas.length : 0;
  }

  /** Ends everything; returns the processes that did not end by themselves and cleanly within their grace. */
  async stop(): Promise<string[]> {
    for (const replica of this.replicas) replica.vanish();
    const groups = [['proxy', 'agent'], ['store'], ['controller']];
    const rude: string[] = [];
    // FrontProxy and agent are on one machine and get the signal together.
    for (const group of groups) {
      const daemons = [...this.daemons.values()].filter((daemon) => group.includes(daemon.program));
      const codes = await Promise.all(daemons.map((daemon) => daemon.stop()));
      daemons.forEach(({ program }, at) => {
        if (codes[at] !== 0) rude.push(`${program} ended with ${codes[at]}`);
      });
    }
    this.links?.close();
    return rude;
  }

  /** The disk of a machine is gone. */
  async loseDisk(machine: string): Promise<void> {
    await rm(this.dataFolder(machine), { recursive: true, force: true });
  }

  async wipe(): Promise<void> {
    await rm(this.#options.folder, { recursive: true, force: true });
  }

  async #relayAll(): Promise<void> {
    for (const bootSettings of this.#boots.values())
      if (bootSettings.advertise !== undefined) await this.links?.relay(bootSettings.advertise, bootSettings.listen);
  }

  #add(program: Program, key: string): void {
    const bootSettings = this.#boots.get(key);
    if (bootSettings === undefined) throw new HarnessError(`no boot ${key}`);
    const { seeds, dataFolder, ...plain } = bootSettings;
    const folder = dataFolder === undefined ? {} : { dataFolder: this.dataFolder(bootSettings.name) };
    const flags = Object.entries({ ...plain, seeds: seeds.join(','), ...folder });
    const args = flags
      .filter(([flag, value]) => flagNames.includes(flag) && value !== undefined)
      .map(([flag, value]) => `--${flag.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}=${String(value)}`);
    this.#programs.set(key, program);
    this.daemons.set(key, new Daemon(program, key, args, join(this.#options.folder, `${key}.log`)));
  }

  #https(program: Program): readonly Address[] {
    return [...this.#programs].filter(([, one]) => one === program).flatMap(([key]) => this.#boots.get(key)?.http ?? []);
  }
}

async function ask(method: 'GET' | 'POST', address: Address, path: string, body?: unknown): Promise<Returned> {
  const response = await request(`http://${address}${path}`, {
    method,
    ...(body === undefined ? {} : { headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) }),
    headersTimeout: 20_000,
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) };
}
