import type { SimTime } from '../engine/index.js';

/** Which of the machines that hold copies are lost at the moment, against how many may be lost at once. */
export class CountedLosses {
  readonly #time: SimTime;
  readonly #tolerance: number;
  readonly #untilMs = new Map<string, number>();

  constructor(time: SimTime, tolerance: number) {
    this.#time = time;
    this.#tolerance = tolerance;
  }

  /** The machines that count as lost now. */
  lost(): readonly string[] {
    return [...this.#untilMs].flatMap(([name, untilMs]) => (untilMs > this.#time.nowMs ? [name] : []));
  }

  /** How many more may be lost now. */
  free(): number {
    return Math.max(0, this.#tolerance - this.lost().length);
  }

  /** Counts machines as lost for a while; false, and nothing is counted, where that would be too many at once. */
  lose(names: readonly string[], forMs: number): boolean {
    const now = this.lost();
    const more = names.filter((name) => !now.includes(name));
    if (more.length > this.free()) return false;
    const untilMs = this.#time.nowMs + forMs;
    for (const name of names) this.#untilMs.set(name, Math.max(untilMs, this.#untilMs.get(name) ?? 0));
    return true;
  }

  /** Counts all as lost at once, whatever the tolerance: their disks stay. False where one of them is lost already. */
  loseAll(names: readonly string[], forMs: number): boolean {
    if (this.lost().length > 0) return false;
    for (const name of names) this.#untilMs.set(name, this.#time.nowMs + forMs);
    return true;
  }
}
