import { pollUntil } from '../fleet/pollUntil.js';
import type { Daemon } from '../fleet/daemon.js';
import type { Fleet } from '../fleet/fleet.js';
import type { Operator } from '../fleet/operator.js';
import { sleep } from '../fleet/sleep.js';
import { targets } from '../fleet/targets.js';
import type { SoakHistory } from './soakHistory.js';

interface SoakEventsOptions {
  readonly fleet: Fleet;
  readonly operator: Operator;
  readonly random: () => number;
  readonly history: SoakHistory;
}

const kinds = ['front', 'front', 'front', 'controller', 'store'] as const;
type Kind = (typeof kinds)[number];

const maxPauseMs = 1200;
const downMs = 500;
const returnMs = 30_000;
/** Time until a signal is sent for the second time. */
const repeatedSignalMs = 300;

/** One series of things that happen to a fleet, drawn from random numbers. Several run beside each other, so that they overlap. */
export class SoakEvents {
  readonly #options: SoakEventsOptions;
  /** Machines that something happens to. */
  readonly #busy: Set<string>;

  constructor(options: SoakEventsOptions, busy: Set<string>) {
    this.#options = options;
    this.#busy = busy;
  }

  async run(count: number): Promise<void> {
    for (let event = 0; event < count; event += 1) {
      await sleep(this.#options.random() * maxPauseMs);
      await this.#one();
    }
  }

  async #one(): Promise<void> {
    const drawn = this.#options.random();
    if (drawn < 0.25) return this.#changeConfiguration();
    const machine = this.#take();
    if (machine === undefined) return;
    try {
      if (drawn < 0.4) await this.#kill(machine);
      else await this.#restart(machine, drawn < 0.6);
    } finally {
      this.#busy.delete(machine);
    }
  }

  /** A machine that nothing happens to; of controllers and stores one at a time, which is what the fleet bears. */
  #take(): string | undefined {
    const { fleet, random } = this.#options;
    const kind = targets.pickRandom<Kind>(kinds, random);
    const names = targets.names(fleet, kind);
    const isTaken = names.some((name) => this.#busy.has(name));
    const free = names.filter((name) => !this.#busy.has(name));
    if (free.length === 0 || (kind !== 'front' && isTaken)) return undefined;
    const machine = targets.pickRandom(free, random);
    this.#busy.add(machine);
    return machine;
  }

  async #changeConfiguration(): Promise<void> {
    const { operator, random, history } = this.#options;
    const runMs = 20_000 + Math.floor(random() * 10_000);
    const version = await operator.change({ services: { slots: { runMs } } }).catch(() => undefined);
    history.events.push(`configuration ${version ?? 'not confirmed'}`);
  }

  /** The processes end as on the platform's signal, and start again. */
  async #restart(machine: string, signalTwice: boolean): Promise<void> {
    const { fleet, history } = this.#options;
    const daemons = targets.daemons(fleet, machine);
    const ended = daemons.map(async (daemon) =>
      history.ends.push({ process: `${machine}/${daemon.program}`, exitCode: await daemon.stop() }),
    );
    if (signalTwice) {
      await sleep(repeatedSignalMs);
      for (const daemon of daemons) daemon.signal('SIGTERM');
    }
    await Promise.all(ended);
    history.events.push(`restart ${machine}${signalTwice ? ', signalled twice' : ''}`);
    await this.#return(machine, daemons);
  }

  async #kill(machine: string): Promise<void> {
    const { fleet, history } = this.#options;
    const daemons = targets.daemons(fleet, machine);
    const outage = { machine, fromMs: Date.now(), toMs: Number.POSITIVE_INFINITY };
    history.outages.push(outage);
    for (const daemon of daemons) daemon.signal('SIGKILL');
    await Promise.all(daemons.map((daemon) => daemon.over()));
    history.events.push(`kill ${machine}`);
    await sleep(downMs);
    await this.#return(machine, daemons);
    outage.toMs = Date.now();
  }

  async #return(machine: string, daemons: readonly Daemon[]): Promise<void> {
    const { fleet } = this.#options;
    for (const daemon of daemons) daemon.start();
    await fleet.serves(daemons.length > 1 ? `${machine}.proxy` : machine, returnMs);
    if (!machine.startsWith('front')) await pollUntil('every shard has its group', () => targets.settled(fleet), returnMs);
  }
}
