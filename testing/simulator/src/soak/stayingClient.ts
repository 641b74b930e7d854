import { Caller } from '@pewterlanding/stand-ins';
import type { Address } from '@pewterlanding/model';
import { sleep } from '../fleet/sleep.js';
import type { SoakHistory } from './soakHistory.js';

interface StayingClientOptions {
  readonly name: string;
  readonly quota: string;
  readonly services: readonly string[];
  /** Proxies that take new clients. */
  readonly ready: () => readonly Address[];
  readonly machineOf: (proxy: Address) => string;
  readonly random: () => number;
  readonly history: SoakHistory;
}

const patienceMs = 20_000;
/** Longest pause between two requests: connections rest meanwhile. */
const maxPauseMs = 1500;
const padBytes = 200;

/** A client that stays at its proxy, on the connection that it has, until a request fails there. */
export class StayingClient {
  readonly #options: StayingClientOptions;
  readonly #caller: Caller;
  #proxy: Address | undefined;
  #count = 0;
  #isStopped = false;

  constructor(options: StayingClientOptions) {
    this.#options = options;
    this.#caller = new Caller({ patienceMs, told: () => undefined });
  }

  /** Sends requests one after the other until it is stopped. */
  async run(): Promise<void> {
    const { random } = this.#options;
    while (!this.#isStopped) {
      await this.#request();
      await sleep(random() * maxPauseMs);
    }
    await this.#caller.close();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #request(): Promise<void> {
    const { name, quota, services, ready, machineOf, random, history } = this.#options;
    this.#proxy ??= pick(ready(), random);
    const service = pick(services, random);
    if (this.#proxy === undefined || service === undefined) return;
    this.#count += 1;
    const record = await this.#caller.ask(this.#proxy, quota, service, `${name}-${this.#count}`, padBytes);
    history.told.push({ machine: machineOf(this.#proxy), record });
    if (record.outcome !== 'returned') this.#proxy = undefined;
  }
}

function pick<T>(all: readonly T[], random: () => number): T | undefined {
  return all[Math.floor(random() * all.length)];
}
