import type { Address } from '@pewterlanding/model';
import type { CutMode } from './cutMode.js';
import type { Instance, SimMachine, SimTime } from '../engine/index.js';

interface Listener {
  readonly machine: SimMachine;
  readonly instance: Instance;
  readonly take: (bytes: Uint8Array, from: Address) => void;
  /** The connections to another address are gone: what waits there for an answer will get none. */
  readonly lost?: (peer: Address) => void;
}

/** Why the sender learns that its message did not arrive. */
type Undelivered = 'refused' | 'reset';

interface Cut {
  readonly from: string;
  readonly to: string;
  readonly mode: CutMode;
}

const refusalMs = 1;

/** The network between machines: delays, cuts in either direction, loss. Between two ends messages keep their order. */
export class SimNet {
  readonly #time: SimTime;
  readonly #random: () => number;
  readonly #listeners = new Map<Address, Listener>();
  readonly #last = new Map<string, number>();
  readonly #cuts = new Map<string, Set<Cut>>();
  readonly #isolated = new Set<string>();
  /** How often the connections between two machines were reset; what was on its way before is lost. */
  readonly #resets = new Map<string, number>();
  readonly #watching = new Map<string, Set<() => void>>();
  lossRatio = 0;
  messages = 0;
  bytes = 0;

  constructor(time: SimTime, random: () => number) {
    this.#time = time;
    this.#random = random;
  }

  listen(address: Address, listener: Listener): void {
    this.#listeners.set(address, listener);
  }

  /** Nothing goes from one machine to the other; the way back is a cut of its own. Returns what mends just this cut. */
  cut(from: string, to: string, mode: CutMode = 'silent'): () => void {
    const key = `${from}>${to}`;
    const cut = { from, to, mode };
    const cuts = this.#cuts.get(key) ?? new Set();
    this.#cuts.set(key, cuts.add(cut));
    if (mode !== 'silent') this.reset(from, to);
    return () => {
      cuts.delete(cut);
      if (cuts.size === 0 && this.#cuts.get(key) === cuts) this.#cuts.delete(key);
    };
  }

  isolate(machine: string): void {
    this.#isolated.add(machine);
  }

  heal(): void {
    this.#cuts.clear();
    this.#isolated.clear();
    this.lossRatio = 0;
  }

  /** Resets all connections between two machines: what is on its way is lost, and whoever waits for an answer learns of it. */
  reset(one: string, other: string): void {
    const pair = pairOf(one, other);
    this.#resets.set(pair, (this.#resets.get(pair) ?? 0) + 1);
    const listening = [...this.#listeners];
    for (const [here, listener] of listening)
      for (const [there, { machine }] of listening)
        if (here !== there && listener.machine !== machine && pairOf(listener.machine.name, machine.name) === pair)
          listener.machine.run(() => listener.lost?.(there));
    for (const told of [...(this.#watching.get(pair) ?? [])]) told();
  }

  /** Tells when the connections between two machines are reset. Returns what ends that. */
  onReset(one: string, other: string, told: () => void): () => void {
    const pair = pairOf(one, other);
    const watching = this.#watching.get(pair) ?? new Set();
    this.#watching.set(pair, watching.add(told));
    return () => void watching.delete(told);
  }

  passes(from: string, to: string): boolean {
    return this.obstacle(from, to) === undefined;
  }

  /** What stands in the way from one machine to another, if anything does. */
  obstacle(from: string, to: string): CutMode | undefined {
    if (from === to) return undefined;
    const cuts = [...(this.#cuts.get(`${from}>${to}`) ?? [])];
    if (this.#isolated.has(from) || this.#isolated.has(to) || cuts.some(({ mode }) => mode === 'silent')) return 'silent';
    return cuts[0]?.mode;
  }

  /** A millisecond between zones, less inside one, a loopback on one machine. */
  delayMs(a: SimMachine, b: SimMachine): number {
    const base = a === b ? 0.05 : a.zone === b.zone ? 0.3 : 1;
    return base * (0.8 + this.#random() * 0.6);
  }

  /** The sender learns at once where nobody listens any more, or where a cut refuses or resets; otherwise there is only silence. */
  send(
    from: { readonly machine: SimMachine; readonly address: Address },
    to: Address,
    bytes: Uint8Array,
    undelivered: (reason: Undelivered) => void,
  ): void {
    this.messages += 1;
    this.bytes += bytes.length;
    const target = this.#listeners.get(to);
    const { machine } = from;
    const obstacle = target === undefined ? undefined : this.obstacle(machine.name, target.machine.name);
    const dark =
      target?.machine.powered === false || (target !== undefined && machine !== target.machine && this.#random() < this.lossRatio);
    if (obstacle === 'silent' || dark) return;
    if (target === undefined || target.instance.dead || obstacle !== undefined) {
      this.#time.after(refusalMs, () => machine.run(() => undelivered(obstacle ?? 'reset')));
      return;
    }
    const pair = `${from.address}>${to}`;
    const atMs = Math.max(this.#last.get(pair) ?? 0, this.#time.nowMs + this.delayMs(machine, target.machine));
    this.#last.set(pair, atMs);
    const connection = pairOf(machine.name, target.machine.name);
    const resets = this.#resets.get(connection);
    this.#time.after(atMs - this.#time.nowMs, () => {
      if (this.#resets.get(connection) !== resets) return;
      target.machine.run(() => {
        if (!target.instance.dead) target.take(bytes, from.address);
      });
    });
  }
}

function pairOf(one: string, other: string): string {
  return one < other ? `${one}|${other}` : `${other}|${one}`;
}
